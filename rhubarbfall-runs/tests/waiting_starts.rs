//! A start waits until its placement is stored, up to seconds while the store is slow. What the
//! placement was decided on may change meanwhile; the order to start must then not be sent.

mod model;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_core::WorkerId;
use rhubarbfall_runs::scheduler::{Action, Wave};
use rhubarbfall_runs::{ActiveRun, LeaseRenewalResponse, Step, TaskId};

const RUN_TIME: Duration = Duration::from_secs(30);

/// Returns a model in which the tasks of submission 1 are placed and wait for the store.
fn with_waiting_start(workers: usize, step: Step) -> Model {
    let mut model = Model::new(&[("labels", workers), ("spare", 0)], 1);
    model.run_for(Duration::from_millis(300));
    model.is_store_blocked = true;
    model.submit(submission(1, "labels", step), RUN_TIME);
    model.run_for(Duration::from_millis(100));
    assert_eq!(model.starts, 0, "a start did not wait for the store");
    model
}

/// Returns the worker on which a task is placed.
fn chosen_worker(model: &Model) -> WorkerId {
    let mut workers = model.scheduler.workers();
    let chosen = workers.find(|worker| !worker.placed.is_empty());
    chosen.expect("worker with a task").report.id.clone()
}

/// Lets the store answer and returns the workers that have started a task.
fn workers_after_store(model: &mut Model) -> Vec<WorkerId> {
    model.is_store_blocked = false;
    model.run_for(Duration::from_millis(100));
    assert_eq!(model.violations, Vec::<String>::new());
    let runs = model.runs_of(1);
    assert_eq!(
        model.starts,
        runs.len() as u64,
        "an order was not carried out"
    );
    runs.into_iter().map(|(worker, _)| worker).collect()
}

fn set_draining(model: &mut Model, id: &WorkerId) {
    let now = model.now;
    let worker = model.workers.iter_mut().find(|of| of.report.id == *id);
    let worker = worker.expect("worker in the model");
    worker.report.is_draining = true;
    model.scheduler.worker_listed(worker.report.clone(), now);
}

/// The owner learns that a worker drains while a placement on it waits for the store: the start
/// reached the worker later than the platform allows after the announcement.
#[test]
fn a_waiting_start_is_not_sent_to_a_worker_that_drains() {
    for is_long_running in [false, true] {
        let mut model = with_waiting_start(
            2,
            Step {
                is_long_running,
                ..step(1, 3_000)
            },
        );
        let draining = chosen_worker(&model);
        set_draining(&mut model, &draining);
        let started = workers_after_store(&mut model);
        assert_eq!(started.len(), 1, "tasks started elsewhere: {started:?}");
        assert_ne!(started[0], draining);
    }
}

#[test]
fn a_waiting_start_is_not_sent_to_a_worker_that_is_no_longer_listed() {
    let mut model = with_waiting_start(2, step(1, 3_000));
    let unlisted = chosen_worker(&model);
    model.scheduler.worker_unlisted(&unlisted);
    let started = workers_after_store(&mut model);
    assert_eq!(started.len(), 1, "tasks started elsewhere: {started:?}");
    assert_ne!(started[0], unlisted);
}

#[test]
fn a_waiting_start_is_not_sent_to_an_unreachable_worker() {
    let mut model = with_waiting_start(2, step(1, 3_000));
    // The idle worker stays in its pool.
    model.update_config(|config| config.services[1].is_spare = false);
    let unreachable = chosen_worker(&model);
    model.cut_off(&unreachable);
    model.run_for(Duration::from_millis(1_500));
    let started = workers_after_store(&mut model);
    assert_eq!(started.len(), 1, "tasks started elsewhere: {started:?}");
    assert_ne!(started[0], unreachable);
}

#[test]
fn a_waiting_start_is_not_sent_to_a_quarantined_worker() {
    let mut model = Model::new(&[("labels", 2), ("spare", 0)], 2);
    model.run_for(Duration::from_millis(300));
    for number in 2..4 {
        model.submit(submission(number, "labels", step(1, 3_000)), RUN_TIME);
        model.run_for(Duration::from_millis(100));
    }
    model.is_store_blocked = true;
    model.submit(submission(1, "labels", step(1, 3_000)), RUN_TIME);
    model.run_for(Duration::from_millis(100));
    let id = chosen_worker(&model);
    let failing = model.workers.iter_mut().find(|of| of.report.id == id);
    failing.expect("worker in the model").fails_all = true;
    model.run_for(Duration::from_millis(200));
    model.is_store_blocked = false;
    model.run_for(Duration::from_millis(100));
    let started: Vec<WorkerId> = model.runs_of(1).into_iter().map(|(id, _)| id).collect();
    assert_eq!(started.len(), 1, "tasks started elsewhere: {started:?}");
    assert_ne!(started[0], id);
}

/// A wave chooses a VM while a placement on its worker waits for the store: the start would run on
/// a VM that is drained, and could meet the call for its maintenance.
#[test]
fn a_waiting_start_is_not_sent_to_a_vm_that_is_drained() {
    for is_long_running in [false, true] {
        let mut model = with_waiting_start(
            2,
            Step {
                is_long_running,
                ..step(1, 3_000)
            },
        );
        let chosen = chosen_worker(&model);
        let vm = model.workers.iter().find(|of| of.report.id == chosen);
        let vm = format!("vm-{}", vm.expect("worker in the model").vm);
        let wave = Wave {
            id: "1".parse().expect("valid wave name"),
            vms: vec![vm.parse().expect("valid VM name")],
            duration: Duration::from_secs(20),
            max_down: 1,
            version: rhubarbfall_core::RowVersion::new(1),
        };
        model.scheduler.wave_requested(wave, None, model.now, 0);
        model.run_for(Duration::from_millis(200));
        let started = workers_after_store(&mut model);
        assert_eq!(started.len(), 1, "tasks started elsewhere: {started:?}");
        assert_ne!(started[0], chosen);
        model.run_for(Duration::from_millis(200));
        assert_eq!(model.vms_in_maintenance(), 1);
        assert_eq!(model.violations, Vec::<String>::new());
    }
}

#[test]
fn a_waiting_start_is_not_sent_after_its_queue_was_removed() {
    let mut model = with_waiting_start(2, step(1, 3_000));
    let mut removed = Vec::new();
    model.update_config(|config| removed.append(&mut config.queues));
    assert_eq!(workers_after_store(&mut model), vec![]);
    model.update_config(|config| config.queues.append(&mut removed));
    assert_eq!(workers_after_store(&mut model).len(), 1);
}

#[test]
fn a_waiting_start_follows_its_queue_to_another_service() {
    let mut model = Model::new(&[("labels", 2), ("permits", 2), ("spare", 0)], 3);
    model.run_for(Duration::from_millis(300));
    model.is_store_blocked = true;
    model.submit(submission(1, "labels", step(1, 3_000)), RUN_TIME);
    model.run_for(Duration::from_millis(100));
    model.update_config(|config| {
        config.queues[0].service = "permits".parse().expect("valid service name");
    });
    let started = workers_after_store(&mut model);
    assert_eq!(started.len(), 1);
    let worker = model.scheduler.worker(&started[0]).expect("known worker");
    assert_eq!(worker.report.service.as_str(), "permits");
}

#[test]
fn waiting_starts_keep_to_a_limit_that_was_lowered_meanwhile() {
    let mut model = with_waiting_start(2, step(4, 3_000));
    model.update_config(|config| config.customers[0].limit.cpu_millis = 6_000);
    assert_eq!(workers_after_store(&mut model).len(), 2);
}

/// A run that the owner had given up is reported by the worker while another placement there waits
/// for the store: both together exceed what the worker can take.
#[test]
fn a_waiting_start_is_not_sent_to_a_worker_that_has_no_room_for_it_any_more() {
    let mut model = with_waiting_start(1, step(1, 30_000));
    let id = chosen_worker(&model);
    let other = submission(2, "labels", step(1, 40_000));
    let task = TaskId {
        submission: other.id.clone(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    model.submit(other, RUN_TIME);
    let running = ActiveRun {
        task,
        run: 9,
        checkpoint: None,
        percent: 50,
        tail_ms_or_cpu_millis: None,
    };
    let answer = LeaseRenewalResponse {
        clock_ms: model.now.as_millis(),
        incarnation_unix_ms: 1,
        running: vec![running],
        ended: vec![],
        may_have_more_ends: false,
    };
    let now = model.now;
    model
        .scheduler
        .lease_renewal_answered(&id, now, &answer, now);
    assert_eq!(start_orders_after_store(&mut model), 0);
}

/// Lets the store answer and returns the number of orders to start.
fn start_orders_after_store(model: &mut Model) -> usize {
    store(model);
    start_orders(model)
}

fn store(model: &mut Model) {
    while let Some(batch) = model.scheduler.next_batch() {
        model.store(&batch);
    }
}

/// Takes the actions and returns the number of orders to start among them.
fn start_orders(model: &mut Model) -> usize {
    let actions = model.scheduler.take_actions();
    let starts = actions.iter().filter(|of| matches!(of, Action::Start(_)));
    starts.count()
}

#[test]
fn a_waiting_start_is_not_sent_after_its_submission_was_cancelled() {
    let mut model = with_waiting_start(2, step(3, 3_000));
    let id = "0000000000000001".parse().expect("valid identifier");
    let now = model.now;
    model.scheduler.cancel(&id, now).expect("known submission");
    assert_eq!(workers_after_store(&mut model), vec![]);
    assert_eq!(model.starts, 0);
    model.run_for(Duration::from_millis(300));
    let placed = model.scheduler.workers().map(|worker| worker.placed.len());
    assert_eq!(placed.sum::<usize>(), 0, "a cancelled task keeps its room");
}

/// The order to start waits until the owner carries out its actions, which takes long while its
/// processor is short; the submission is cancelled in that time.
#[test]
fn an_order_that_was_not_carried_out_yet_is_withdrawn_when_its_submission_is_cancelled() {
    let mut model = with_waiting_start(2, step(3, 3_000));
    store(&mut model);
    let id = "0000000000000001".parse().expect("valid identifier");
    let now = model.now;
    model.scheduler.cancel(&id, now).expect("known submission");
    assert_eq!(start_orders(&mut model), 0);
    assert_eq!(workers_after_store(&mut model), vec![]);
    model.run_for(Duration::from_millis(300));
    let placed = model.scheduler.workers().map(|worker| worker.placed.len());
    assert_eq!(placed.sum::<usize>(), 0, "a cancelled task keeps its room");
}

fn gang(members: u32) -> Step {
    Step {
        is_gang: true,
        max_per_worker: Some(1),
        ..step(members, 3_000)
    }
}

/// A member that starts without the others waits for them in vain and keeps its room.
#[test]
fn no_member_of_a_gang_starts_if_the_worker_of_one_drains() {
    let mut model = with_waiting_start(4, gang(3));
    let draining = chosen_worker(&model);
    set_draining(&mut model, &draining);
    let started = workers_after_store(&mut model);
    assert_eq!(started.len(), 3);
    assert!(!started.contains(&draining));
    let runs: Vec<u64> = model.runs_of(1).into_iter().map(|(_, run)| run).collect();
    assert_eq!(runs, vec![2; 3], "the members are not of one run");
}

#[test]
fn no_member_of_a_gang_starts_if_the_worker_of_one_has_restarted() {
    let mut model = with_waiting_start(4, gang(3));
    let id = chosen_worker(&model);
    let worker = model.workers.iter_mut().find(|of| of.report.id == id);
    let worker = worker.expect("worker in the model");
    worker.report.incarnation_unix_ms += 1;
    let (report, now) = (worker.report.clone(), model.now);
    model.scheduler.worker_listed(report, now);
    let started = workers_after_store(&mut model);
    assert_eq!(started.len(), 3);
    let runs: Vec<u64> = model.runs_of(1).into_iter().map(|(_, run)| run).collect();
    assert_eq!(runs, vec![2; 3], "the members are not of one run");
}

/// One member's start is refused after the others have started.
#[test]
fn the_members_of_a_gang_are_stopped_if_the_start_of_one_is_refused() {
    let mut model = with_waiting_start(4, gang(3));
    let refusing = chosen_worker(&model);
    let worker = model.workers.iter_mut().find(|of| of.report.id == refusing);
    worker.expect("worker in the model").refuses_starts = true;
    model.is_store_blocked = false;
    model.run_for(Duration::from_millis(600));
    let runs = model.runs_of(1);
    assert_eq!(runs.len(), 3, "{runs:?}");
    assert!(runs.iter().all(|(worker, _)| *worker != refusing));
    assert!(runs.iter().all(|(_, run)| *run == runs[0].1), "{runs:?}");
}
