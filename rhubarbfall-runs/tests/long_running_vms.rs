//! VMs for long-running tasks that have to start again, beside surges and backlogs of short work: the
//! place of a task is not given away, and a pool that lacks one VM of many gets it.

mod model;

use std::time::Duration;

use model::{Model, STEP, WORKER_CAPACITY, step, submission};
use rhubarbfall_runs::Step;

/// How long a long-running task may wait for its next run: as long as a short task, a move and a start
/// take.
const MAX_ABSENCE: Duration = Duration::from_secs(5);

/// A time after which no lease of a worker that was cut off is in force.
const LONGEST_LEASE: Duration = Duration::from_secs(4);

/// The number of the first short submission.
const FIRST_SHORT: u64 = 100;

/// Long-running tasks of which a VM holds one, and of its own step one at most.
fn lasting_step(tasks: u32) -> Step {
    Step {
        is_long_running: true,
        max_per_worker: Some(1),
        ..step(tasks, WORKER_CAPACITY.cpu_millis * 7 / 10)
    }
}

/// Returns a cell in which each VM of the pool `queue` holds one long-running task of one of two
/// submissions, 1 and 2, with a surge of short work on both queues beside them.
fn cell_with_surge(queue: &str, pools: &[(&str, usize)]) -> Model {
    let mut model = Model::new(pools, 1);
    model.run_for(Duration::from_secs(1));
    for number in [1, 2] {
        let lasting = submission(number, queue, lasting_step(3));
        model.submit(lasting, Duration::from_hours(2));
    }
    model.run_for(Duration::from_secs(4));
    let runs = [1, 2].map(|number| model.runs_of(number).len());
    assert_eq!(runs, [3, 3], "{queue}: {pools:?}");
    model
}

/// Returns the pools of two queues, the one with the long-running work and the other one.
fn pools(queue: &str, vms: usize, others: usize) -> [(&'static str, usize); 3] {
    let (labels, permits) = if queue == "labels" {
        (vms, others)
    } else {
        (others, vms)
    };
    [("labels", labels), ("permits", permits), ("spare", 0)]
}

/// Submits short work to a queue, as much as all VMs do in about ten seconds.
fn submit_surge(model: &mut Model, first: u64, queue: &str) {
    for number in first..first + 150 {
        let work = submission(number, queue, step(10, 6_400));
        model.submit(work, Duration::from_secs(1));
    }
}

/// Returns after how long all tasks of the submissions 1 and 2 run, within `limit`.
fn time_until_all_run(model: &mut Model, limit: Duration) -> Option<Duration> {
    let begin = model.now;
    while model.now.since(begin) < limit {
        model.step();
        if model.runs_of(1).len() + model.runs_of(2).len() == 6 {
            return Some(model.now.since(begin));
        }
    }
    None
}

/// Guards against a VM that is drained for another pool in the moment between a long-running task's
/// failed run and its next one, when the VM holds short tasks only: no other VM of the pool has room.
#[test]
fn a_vm_is_not_drained_while_its_long_running_task_is_about_to_start_again() {
    for (queue, other) in [("labels", "permits"), ("permits", "labels")] {
        let pools = pools(queue, 6, 4);
        for phase in 0..8 {
            let mut model = cell_with_surge(queue, &pools);
            submit_surge(&mut model, FIRST_SHORT, queue);
            model.run_for(Duration::from_millis(1_500) + STEP * phase);
            submit_surge(&mut model, FIRST_SHORT * 10, other);
            let failed = model.fail_run_of(1);
            let took = time_until_all_run(&mut model, MAX_ABSENCE);
            assert!(took.is_some(), "{queue}, phase {phase}: from {failed:?}");
            assert_eq!(model.violations, Vec::<String>::new());
        }
    }
}

/// Guards against a long-running task that waits for as long as other pools are busy, since its pool
/// lacks one VM of many, which counts as enough for short work.
#[test]
fn a_pool_that_lost_a_vm_of_long_running_work_gets_another_one() {
    for (queue, other) in [("labels", "permits"), ("permits", "labels")] {
        let mut model = cell_with_surge(queue, &pools(queue, 6, 6));
        let (worker, _) = model.runs_of(1).remove(0);
        model.cut_off(&worker);
        let end = model.now + LONGEST_LEASE + MAX_ABSENCE;
        let mut number = FIRST_SHORT;
        let mut is_back = false;
        while model.now < end {
            // Twice what the VMs of the pool do.
            let work = submission(number, other, step(12, 6_400));
            model.submit(work, Duration::from_secs(1));
            number += 1;
            model.run_for(Duration::from_millis(100));
            let runs = model.runs_of(1).len() + model.runs_of(2).len();
            is_back = runs == 6 && !model.runs_of(1).iter().any(|(id, _)| *id == worker);
        }
        assert!(is_back, "{queue}");
    }
}
