//! Which pools get VMs that hold work, when idle ones are not enough.

mod model;

use std::time::Duration;

use expect_test::expect;
use model::{Model, WORKER_CAPACITY, step, submission};
use rhubarbfall_runs::scheduler::{PoolLoad, PoolNeed, plan_moves};
use rhubarbfall_runs::{JobState, Step};

/// A pool whose VMs all hold short tasks.
fn busy_pool(name: &str, need: PoolNeed, supply: usize) -> PoolLoad {
    let vm = |number| format!("{name}-{number}").parse().expect("valid VM name");
    PoolLoad {
        service: name.parse().expect("valid service name"),
        is_spare: name == "spare",
        need,
        supply,
        idle: Vec::new(),
        drainable: (0..supply).map(vm).collect(),
    }
}

/// Returns how many VMs move, by the pools that they leave and join.
fn moves(pools: &[PoolLoad]) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for (vm, to) in plan_moves(pools) {
        let from = vm.as_str().split('-').next().unwrap_or_default().to_owned();
        *counts.entry((from, to)).or_insert(0) += 1;
    }
    let lines = counts
        .iter()
        .map(|((from, to), count)| format!("{from} -> {to}: {count}\n"));
    lines.collect()
}

fn need(in_time: usize, total: usize) -> PoolNeed {
    PoolNeed {
        in_time,
        total,
        ..PoolNeed::default()
    }
}

#[test]
fn work_in_time_gets_vms_from_late_and_overdue_work() {
    let pools = [
        busy_pool("labels", need(2, 40), 20),
        busy_pool("permits", PoolNeed::in_time(6), 0),
    ];
    expect![[r"
        labels -> permits: 6
    "]]
    .assert_eq(&moves(&pools));
}

#[test]
fn pools_that_are_all_short_share_in_proportion_to_their_needs() {
    let pools = [
        busy_pool("labels", PoolNeed::in_time(20), 20),
        busy_pool("permits", PoolNeed::in_time(60), 4),
    ];
    expect![[r"
        labels -> permits: 14
    "]]
    .assert_eq(&moves(&pools));
}

#[test]
fn vms_that_long_running_work_holds_count_towards_the_share() {
    let mut labels = busy_pool("labels", PoolNeed::in_time(30), 20);
    labels.drainable.truncate(4);
    let pools = [labels, busy_pool("permits", PoolNeed::in_time(30), 4)];
    expect![[r"
        labels -> permits: 4
    "]]
    .assert_eq(&moves(&pools));
}

/// Guards against VMs that are drained in turns by pools whose needs differ little.
#[test]
fn a_pool_with_most_of_its_share_takes_no_busy_vm() {
    let pools = [
        busy_pool("labels", PoolNeed::in_time(20), 22),
        busy_pool("permits", PoolNeed::in_time(20), 18),
    ];
    expect![[""]].assert_eq(&moves(&pools));
}

#[test]
fn overdue_work_of_two_pools_shares_what_is_left() {
    let pools = [
        busy_pool("labels", need(0, 40), 10),
        busy_pool("permits", need(0, 40), 0),
    ];
    expect![[r"
        labels -> permits: 5
    "]]
    .assert_eq(&moves(&pools));
}

/// Guards against a long-running task that waits since its pool has most of its share, or since others
/// use idle VMs for work in time.
#[test]
fn a_pool_that_lacks_a_vm_for_long_running_work_gets_it_first() {
    let lacks_one = PoolNeed {
        long_running: 42,
        ..PoolNeed::in_time(127)
    };
    let mut labels = busy_pool("labels", lacks_one, 41);
    labels.drainable.clear();
    let busy = [labels.clone(), busy_pool("permits", need(73, 90), 21)];
    expect![[r"
        permits -> labels: 1
    "]]
    .assert_eq(&moves(&busy));
    let mut permits = busy_pool("permits", need(73, 90), 21);
    let idle = std::mem::take(&mut permits.drainable).into_iter();
    permits.idle = idle.map(|vm| (vm, Duration::from_secs(1))).collect();
    expect![[r"
        permits -> labels: 1
    "]]
    .assert_eq(&moves(&[labels, permits]));
}

/// A step with long-running tasks of which a VM holds one, beside a few short tasks.
fn lasting_step(tasks: u32) -> Step {
    Step {
        is_long_running: true,
        ..step(tasks, WORKER_CAPACITY.cpu_millis * 7 / 10)
    }
}

/// Returns a cell with long-running tasks on most VMs and a backlog of work on all others that has
/// become too late and goes on for half a minute.
fn cell_with_backlog() -> Model {
    let mut model = Model::new(&[("labels", 8), ("permits", 2), ("spare", 6)], 1);
    model.run_for(Duration::from_secs(1));
    let lasting = submission(1, "labels", lasting_step(10));
    model.submit(lasting, Duration::from_hours(2));
    model.run_for(Duration::from_secs(4));
    assert_eq!(model.runs_of(1).len(), 10);
    for number in 0..200 {
        let work = submission(100 + number, "labels", step(10, 6_400));
        model.submit(work, Duration::from_secs(1));
    }
    model.run_for(Duration::from_secs(10));
    model
}

/// Guards against work in time that gets no VM while a backlog of another queue that has become
/// too late keeps all of them busy: only idle VMs moved, and a VM beside a backlog is never idle.
#[test]
fn work_in_time_starts_beside_a_backlog_of_late_work() {
    let mut model = cell_with_backlog();
    let backlog = model.count(JobState::Active);
    assert!(backlog > 10, "{backlog}");
    for number in 0..4 {
        let work = submission(500 + number, "permits", step(10, 6_400));
        model.submit(work, Duration::from_secs(1));
    }
    model.run_for(Duration::from_secs(4));
    let started = model.scheduler.jobs().filter(|job| {
        let is_of_permits = job.submission.queue.as_str() == "permits";
        is_of_permits && job.has_begun
    });
    let started = started.count();
    let backlog = model.count(JobState::Active);
    assert!(backlog > 5, "{backlog}");
    assert!(started >= 2, "{started} of 4 started");
    assert_eq!(model.violations, Vec::<String>::new());
}

/// Guards against VMs that are drained for a move and lost to all pools, since a task on them takes
/// far longer than its estimate.
#[test]
fn a_vm_whose_tasks_do_not_end_gets_work_again() {
    let mut model = Model::new(&[("labels", 4), ("permits", 0), ("spare", 0)], 1);
    model.run_for(Duration::from_secs(1));
    let endless = submission(1, "labels", step(4, 33_000));
    model.submit(endless, Duration::from_mins(1));
    model.run_for(Duration::from_secs(8));
    model.submit(
        submission(2, "permits", step(8, 33_000)),
        Duration::from_secs(1),
    );
    model.run_for(Duration::from_millis(500));
    model.submit(
        submission(3, "labels", step(8, 3_000)),
        Duration::from_secs(1),
    );
    model.run_for(Duration::from_secs(8));
    assert_eq!(model.moves, 0);
    assert_eq!(model.count(JobState::Completed), 1);
}

/// Guards against VMs that are drained to and fro while two queues ask for more than all VMs do.
#[test]
fn steady_overload_of_two_pools_moves_few_vms() {
    let mut model = Model::new(&[("labels", 10), ("permits", 10), ("spare", 0)], 3);
    model.run_for(Duration::from_secs(1));
    let mut moves_at_overload = 0;
    for number in 0..400 {
        let queue = if number % 2 == 0 { "labels" } else { "permits" };
        let work = submission(number, queue, step(14, 6_400));
        let duration = model.sample_duration(Duration::from_secs(1), 0.4);
        model.submit(work, duration);
        model.run_for(Duration::from_millis(50));
        if number == 100 {
            moves_at_overload = model.moves;
        }
    }
    let moves = model.moves - moves_at_overload;
    assert!(moves <= 10, "{moves} moves in 15 s");
}

/// Guards against VMs that idle in a pool whose work waits for its customer's limit, while another
/// pool is short.
#[test]
fn work_beyond_its_customers_limit_holds_no_vms() {
    let mut model = Model::new(&[("labels", 6), ("permits", 2), ("spare", 0)], 1);
    model.update_config(|config| {
        let mut other = config.customers[0].clone();
        other.id = "house-b".parse().expect("valid customer name");
        config.customers.push(other);
        config.customers[0].limit.cpu_millis = WORKER_CAPACITY.cpu_millis;
    });
    model.run_for(Duration::from_secs(1));
    for number in 0..30 {
        let work = submission(number, "labels", step(10, 6_400));
        model.submit(work, Duration::from_secs(1));
    }
    model.run_for(Duration::from_secs(2));
    for number in 100..104 {
        let mut work = submission(number, "permits", step(10, 6_400));
        work.customer = Some("house-b".parse().expect("valid customer name"));
        model.submit(work, Duration::from_secs(1));
    }
    model.run_for(Duration::from_millis(3_500));
    let done = (100..104).filter(|number| is_completed(&model, *number));
    assert_eq!(done.count(), 4);
}

fn is_completed(model: &Model, number: u64) -> bool {
    let id = format!("{number:016x}");
    model
        .scheduler
        .jobs()
        .any(|job| job.submission.id.as_str() == id && job.state == JobState::Completed)
}
