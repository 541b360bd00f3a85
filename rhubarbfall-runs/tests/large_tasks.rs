//! Tasks of which a VM holds few, so that a pool may have all the resources that they need together and
//! no VM with room for one of them.

mod model;

use std::time::Duration;

use model::{Model, WORKER_CAPACITY, step, submission};
use rhubarbfall_runs::JobState;

/// Guards against a lasting task that waits while VMs are spare: six tasks of six tenths of a VM need
/// six VMs, where the sum of their demands and the headroom for packing ask for five.
#[test]
fn lasting_tasks_that_fill_most_of_a_vm_all_run() {
    let mut model = Model::new(&[("labels", 2), ("spare", 8)], 1);
    model.run_for(Duration::from_secs(1));
    let mut lasting = submission(7, "labels", step(6, 1_000));
    lasting.steps[0].is_long_running = true;
    lasting.steps[0].demand.memory_mb = WORKER_CAPACITY.memory_mb * 6 / 10;
    model.submit(lasting, Duration::from_hours(2));
    model.run_for(Duration::from_secs(6));
    assert_eq!(model.runs_of(7).len(), 6);
    assert_eq!(model.violations, Vec::<String>::new());
}

/// Guards against VMs that are taken from the spare pool for tasks that may not start: they wait for
/// their customer's limit, not for room.
#[test]
fn tasks_beyond_a_customers_limit_take_no_vm() {
    let mut model = Model::new(&[("labels", 2), ("spare", 8)], 1);
    model.update_config(|config| config.customers[0].limit.cpu_millis = 2_000);
    model.run_for(Duration::from_secs(1));
    let mut lasting = submission(7, "labels", step(6, 1_000));
    lasting.steps[0].is_long_running = true;
    lasting.steps[0].demand.memory_mb = WORKER_CAPACITY.memory_mb * 6 / 10;
    model.submit(lasting, Duration::from_hours(2));
    model.run_for(Duration::from_millis(300));
    let moves = model.moves;
    model.run_for(Duration::from_secs(6));
    assert_eq!(model.runs_of(7).len(), 2);
    assert!(model.moves <= moves + 4, "{} moves", model.moves);
}

/// Submits long-running tasks that leave half of each of `vms` VMs, of which each may hold one.
fn hold_half_of_each_vm(model: &mut Model, vms: u32) {
    let mut lasting = submission(7, "labels", step(vms, WORKER_CAPACITY.cpu_millis / 2));
    lasting.steps[0].is_long_running = true;
    lasting.steps[0].max_per_worker = Some(1);
    model.submit(lasting, Duration::from_hours(2));
    model.run_for(Duration::from_secs(4));
    assert_eq!(model.runs_of(7).len(), vms as usize);
}

/// Guards against tasks that never run although VMs are spare: each VM of their pool holds a
/// long-running task and has too little left for one of them, while the pool has enough in total.
#[test]
fn tasks_that_fit_beside_no_long_running_task_get_vms() {
    let mut model = Model::new(&[("labels", 6), ("spare", 4)], 1);
    hold_half_of_each_vm(&mut model, 6);
    let large = step(3, WORKER_CAPACITY.cpu_millis * 7 / 10);
    model.submit(submission(8, "labels", large), Duration::from_secs(1));
    model.run_for(Duration::from_secs(5));
    assert_eq!(model.count(JobState::Completed), 1);
}

/// Guards against tasks that never run beside late work of another queue, for the same reason.
#[test]
fn late_tasks_that_fit_beside_no_long_running_task_get_vms() {
    let mut model = Model::new(&[("labels", 6), ("permits", 4), ("spare", 0)], 1);
    hold_half_of_each_vm(&mut model, 6);
    let large = step(3, WORKER_CAPACITY.cpu_millis * 7 / 10);
    model.submit(submission(8, "labels", large), Duration::from_secs(1));
    let backlog = 100..400;
    for number in backlog {
        let work = submission(number, "permits", step(10, 6_400));
        model.submit(work, Duration::from_secs(1));
    }
    model.run_for(Duration::from_secs(20));
    let is_done = |job: &rhubarbfall_runs::Job| {
        job.submission.id.as_str() == format!("{:016x}", 8) && job.state == JobState::Completed
    };
    assert!(model.count(JobState::Active) > 20);
    assert!(model.scheduler.jobs().any(is_done));
}

/// Guards against work that has become late and never runs although VMs are spare: a pool that nothing
/// else needs gives all of its VMs away.
#[test]
fn late_work_runs_while_vms_are_spare() {
    let mut model = Model::new(&[("labels", 2), ("spare", 6)], 1);
    let limit = |model: &mut Model, cpu_millis| {
        model.update_config(|config| config.customers[0].limit.cpu_millis = cpu_millis);
    };
    limit(&mut model, 1);
    model.run_for(Duration::from_secs(1));
    model.submit(
        submission(7, "labels", step(4, 1_000)),
        Duration::from_secs(1),
    );
    model.run_for(Duration::from_secs(12));
    limit(&mut model, 0);
    model.run_for(Duration::from_secs(6));
    assert_eq!(model.count(JobState::Completed), 1);
}
