//! Work that has become too late to have any value and still has to run: how many VMs it gets, and
//! from whom.

mod model;

use std::time::Duration;

use model::{Model, WORKER_CAPACITY, step, submission};
use rhubarbfall_runs::{AdviceTiming, JobState, Step};

/// How long the submissions of these tests wait for their customer's limit: long enough that no
/// objective is left.
const WAIT: Duration = Duration::from_secs(12);

/// Submits work to the queue `labels` that may start only once it has no value any more.
fn submit_overdue(model: &mut Model, steps: impl IntoIterator<Item = (u64, Step)>) {
    model.update_config(|config| config.customers[0].limit.cpu_millis = 1);
    model.run_for(Duration::from_secs(1));
    for (number, step) in steps {
        let work = submission(number, "labels", step);
        model.submit(work, Duration::from_secs(1));
    }
    model.run_for(WAIT);
    assert!(model.starts == 0, "the submissions wait for the limit");
    model.update_config(|config| config.customers[0].limit.cpu_millis = 0);
}

/// Returns the largest number of runs of these submissions at once over `duration`.
fn most_runs(model: &mut Model, numbers: std::ops::Range<u64>, duration: Duration) -> usize {
    let end = model.now + duration;
    let mut most = 0;
    while model.now < end {
        model.step();
        let runs = numbers.clone().map(|number| model.runs_of(number).len());
        most = most.max(runs.sum());
    }
    most
}

/// A step of which a VM holds one task.
fn large_step(tasks: u32) -> Step {
    step(tasks, WORKER_CAPACITY.cpu_millis * 9 / 10)
}

/// Guards against overdue work that gets one VM at a time, whatever its size, while all others are
/// spare: a backlog would take as long as all of its tasks one after the other.
#[test]
fn overdue_work_gets_as_many_vms_as_it_can_use() {
    let mut model = Model::new(&[("labels", 2), ("permits", 3), ("spare", 6)], 1);
    submit_overdue(&mut model, (0..8).map(|number| (number, large_step(1))));
    let most = most_runs(&mut model, 0..8, Duration::from_secs(6));
    assert_eq!(most, 8);
    assert_eq!(model.count(JobState::Completed), 8);
    assert_eq!(model.violations, Vec::<String>::new());
}

/// Guards against tasks that wait for each other while VMs are spare: tasks of six tenths of a VM take
/// one each, where the sum of their demands asks for less.
#[test]
fn tasks_that_need_more_than_half_a_vm_get_one_each() {
    let mut model = Model::new(&[("labels", 2), ("permits", 3), ("spare", 6)], 1);
    let step = step(1, WORKER_CAPACITY.cpu_millis * 6 / 10);
    submit_overdue(&mut model, (0..8).map(|number| (number, step.clone())));
    let most = most_runs(&mut model, 0..8, Duration::from_secs(6));
    assert_eq!(most, 8);
}

/// Guards against VMs that stay in a pool after its overdue work has ended.
#[test]
fn overdue_work_gives_its_vms_back_once_it_has_ended() {
    let mut model = Model::new(&[("labels", 2), ("permits", 3), ("spare", 6)], 1);
    submit_overdue(&mut model, (0..8).map(|number| (number, large_step(1))));
    model.run_for(Duration::from_secs(12));
    assert_eq!(model.count(JobState::Completed), 8);
    assert_eq!(model.workers.len(), 0);
}

/// Guards against overdue work that takes spare VMs from work which can still be in time.
#[test]
fn work_in_time_comes_before_overdue_work() {
    let mut model = Model::new(&[("labels", 2), ("permits", 2), ("spare", 4)], 1);
    submit_overdue(&mut model, (0..40).map(|number| (number, large_step(1))));
    let in_time = submission(100, "permits", large_step(6));
    model.submit(in_time, Duration::from_secs(1));
    let most = most_runs(&mut model, 100..101, Duration::from_secs(4));
    assert_eq!(most, 6);
}

/// Guards against VMs that move to and fro for overdue work that no VM can run.
#[test]
fn overdue_work_that_no_vm_can_run_takes_no_vm() {
    let mut model = Model::new(&[("labels", 2), ("spare", 6)], 1);
    let mut unknown_label = step(4, 1_000);
    unknown_label.required_label = Some("tpu".into());
    let too_large = step(4, WORKER_CAPACITY.cpu_millis + 1);
    let mut too_wide = large_step(9);
    too_wide.is_gang = true;
    let steps = [unknown_label, too_large, too_wide];
    submit_overdue(&mut model, (0..).zip(steps));
    let moves = model.moves;
    model.run_for(Duration::from_secs(30));
    assert_eq!(model.moves, moves);
}

/// Guards against VMs that move to and fro for overdue work that waits for something else than
/// VMs: here the advice service denies every worker.
#[test]
fn overdue_work_that_leaves_its_vms_idle_gets_few_more() {
    let mut model = Model::new(&[("labels", 2), ("spare", 6)], 1);
    model.may_run_step = Some(|_| false);
    model.update_config(|config| {
        config.queues[0].advice = Some(AdviceTiming {
            call_time: Duration::from_millis(40),
            time_per_worker: Duration::from_millis(2),
            ticket_validity: Duration::from_secs(3),
        });
    });
    submit_overdue(&mut model, (0..6).map(|number| (number, large_step(1))));
    let moves = model.moves;
    model.run_for(Duration::from_secs(30));
    // All VMs come and go once, and then one of them every ten seconds.
    let all_vms = model.vm_names().len() as u64;
    assert!(model.moves - moves <= 2 * (all_vms + 3), "{}", model.moves);
}

/// Guards against overdue work that gets no VM for ten seconds, since others had become idle at the end
/// of overdue work before it: nothing that could use them waited then.
#[test]
fn overdue_work_gets_vms_after_others_of_its_pool_have_become_idle() {
    let mut model = model_with_two_limited_customers();
    let mut long = large_step(1);
    long.estimate = Duration::from_secs(12);
    submit_for(&mut model, 1, "labels", "house-a", large_step(3));
    let long = submission(2, "labels", long);
    model.submit(long, Duration::from_secs(12));
    submit_for(&mut model, 3, "labels", "house-b", large_step(3));
    model.run_for(Duration::from_secs(30));
    model.update_config(|config| config.customers[0].limit.cpu_millis = 0);
    model.run_for(Duration::from_secs(6));
    assert!(has_begun(&model, 1) && has_begun(&model, 2));
    lift_limits(&mut model);
    model.run_for(Duration::from_secs(4));
    assert!(has_begun(&model, 3));
}

/// Submits to a queue of a model with the queues `labels` and `permits`, for a customer.
fn submit_for(model: &mut Model, number: u64, queue: &str, customer: &str, step: Step) {
    let mut work = submission(number, queue, step);
    work.customer = Some(customer.parse().expect("valid customer name"));
    model.submit(work, Duration::from_secs(1));
}

/// Returns a model with two customers, both at a limit that lets nothing start.
fn model_with_two_limited_customers() -> Model {
    let mut model = Model::new(&[("labels", 2), ("permits", 2), ("spare", 6)], 1);
    model.update_config(|config| {
        let mut other = config.customers[0].clone();
        other.id = "house-b".parse().expect("valid customer name");
        config.customers.push(other);
        for customer in &mut config.customers {
            customer.limit.cpu_millis = 1;
        }
    });
    model.run_for(Duration::from_secs(1));
    model
}

fn lift_limits(model: &mut Model) {
    model.update_config(|config| {
        for customer in &mut config.customers {
            customer.limit.cpu_millis = 0;
        }
    });
}

/// Guards against overdue work that waits until the backlog of another queue is done, however much
/// younger and larger that is: shares in proportion to the needs leave a small queue with nothing.
#[test]
fn overdue_work_gets_vms_by_its_age() {
    let mut model = model_with_two_limited_customers();
    submit_for(&mut model, 1, "permits", "house-b", large_step(2));
    model.run_for(Duration::from_secs(3));
    for number in 100..300 {
        submit_for(&mut model, number, "labels", "house-a", large_step(1));
    }
    model.run_for(WAIT);
    model.update_config(|config| config.customers[0].limit.cpu_millis = 0);
    model.run_for(Duration::from_secs(4));
    lift_limits(&mut model);
    model.run_for(Duration::from_secs(5));
    assert!(model.count(JobState::Active) > 100);
    assert!(has_begun(&model, 1));
}

/// Guards against overdue submissions that wait behind those of a customer that sends far more than
/// its weight allows.
#[test]
fn overdue_work_comes_before_work_beyond_a_customers_rate() {
    let mut model = model_with_two_limited_customers();
    model.update_config(|config| config.customers[0].weight = 1);
    for number in 100..300 {
        submit_for(&mut model, number, "labels", "house-a", large_step(1));
    }
    submit_for(&mut model, 1, "labels", "house-b", large_step(2));
    model.run_for(WAIT);
    lift_limits(&mut model);
    model.run_for(Duration::from_secs(4));
    assert!(model.count(JobState::Active) > 100);
    assert!(has_begun(&model, 1));
}

fn has_begun(model: &Model, number: u64) -> bool {
    let id = format!("{number:016x}");
    let mut jobs = model.scheduler.jobs();
    jobs.any(|job| job.submission.id.as_str() == id && job.has_begun)
}

/// Guards against old overdue work that waits for as long as younger work of another queue keeps each VM
/// with a task of some seconds: no VM is ever about to be empty.
#[test]
fn overdue_work_gets_vms_from_younger_work_of_some_seconds() {
    let mut model = model_with_two_limited_customers();
    for number in 0..60 {
        submit_for(&mut model, number, "labels", "house-b", large_step(1));
    }
    model.run_for(Duration::from_secs(3));
    let mut lasting = step(1, WORKER_CAPACITY.cpu_millis * 3 / 10);
    lasting.estimate = Duration::from_secs(5);
    for number in 100..400 {
        let work = submission(number, "permits", lasting.clone());
        let duration = model.sample_duration(lasting.estimate, 0.4);
        model.submit(work, duration);
    }
    model.run_for(WAIT);
    model.update_config(|config| config.customers[0].limit.cpu_millis = 0);
    model.run_for(Duration::from_secs(8));
    lift_limits(&mut model);
    // All VMs have left the younger work after ten seconds and a move, and the old one takes six.
    model.run_for(Duration::from_secs(18));
    let begun = (0..60).filter(|number| has_begun(&model, *number));
    assert_eq!(begun.count(), 60);
    assert!((100..400).any(|number| !has_begun(&model, number)));
    assert_eq!(model.violations, Vec::<String>::new());
}
