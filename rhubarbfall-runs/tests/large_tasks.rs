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
