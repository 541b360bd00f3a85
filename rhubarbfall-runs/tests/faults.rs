//! Regression tests for faults found in load tests or required by the specification, simulated in
//! virtual time.

mod model;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_core::{BootTime, RowVersion};
use rhubarbfall_runs::scheduler::{
    Action, CalledVm, SchedulerSettings, VmOperation, VmRow, VmState, Wave, WaveProgress,
};
use rhubarbfall_runs::{JobState, Resources, Scheduler, Step};

const UNBOUNDED: Duration = Duration::from_secs(100_000);

fn long_running(tasks: u32, max_unavailable: u32) -> Step {
    Step {
        is_long_running: true,
        max_unavailable,
        max_per_worker: Some(1),
        ..step(tasks, 4_000)
    }
}

#[test]
fn tasks_of_an_unreachable_worker_start_elsewhere_once_its_leases_have_expired() {
    let mut model = Model::new(&[("labels", 3), ("spare", 0)], 1);
    model.submit(submission(1, "labels", long_running(1, 1)), UNBOUNDED);
    model.run_for(Duration::from_secs(1));
    let first = model.runs_of(1);
    model.cut_off(&first[0].0);
    model.run_for(Duration::from_secs(6));
    let second = model.runs_of(1);
    assert_eq!(
        second.len(),
        1,
        "runs after the worker was cut off: {second:?}"
    );
    assert_ne!(first[0].0, second[0].0);
    assert_eq!(model.violations, Vec::<String>::new());
}

#[test]
fn a_start_without_an_answer_that_is_carried_out_late_never_runs_twice() {
    let mut model = Model::new(&[("labels", 3), ("spare", 0)], 2);
    model.run_for(Duration::from_millis(200));
    for worker in &mut model.workers {
        worker.start_delay = Some(Duration::from_millis(900));
    }
    for number in 0..10 {
        model.submit(
            submission(number, "labels", step(4, 3_000)),
            Duration::from_secs(1),
        );
    }
    model.run_for(Duration::from_secs(2));
    for worker in &mut model.workers {
        worker.start_delay = None;
    }
    model.run_for(Duration::from_secs(6));
    assert_eq!(model.count(JobState::Completed), 10);
    assert_eq!(model.violations, Vec::<String>::new());
}

#[test]
fn a_new_owner_runs_nothing_twice_and_loses_nothing() {
    for seed in 0..20 {
        let mut model = Model::new(&[("labels", 6), ("permits", 3), ("spare", 2)], seed);
        for number in 0..40 {
            let queue = if number % 3 == 0 { "permits" } else { "labels" };
            let duration = model.sample_duration(Duration::from_millis(900), 0.8);
            model.submit(submission(number, queue, step(5, 4_000)), duration);
            let pause = Duration::from_millis(u64::from(model.sample_below(200)));
            model.run_for(pause);
            if number % 13 == 12 {
                model.fail_over();
            }
        }
        model.run_for(Duration::from_secs(20));
        assert_eq!(model.count(JobState::Completed), 40, "seed {seed}");
        assert_eq!(model.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_worker_that_fails_all_it_starts_does_not_fail_submissions() {
    let mut model = Model::new(&[("labels", 4), ("spare", 0)], 3);
    model.run_for(Duration::from_millis(200));
    model.workers[0].fails_all = true;
    for number in 0..30 {
        model.submit(
            submission(number, "labels", step(3, 3_000)),
            Duration::from_millis(700),
        );
        model.run_for(Duration::from_millis(150));
    }
    model.run_for(Duration::from_secs(5));
    assert_eq!(model.count(JobState::Failed), 0);
    assert_eq!(model.count(JobState::Completed), 30);
}

#[test]
fn a_batch_fits_into_one_transaction() {
    let settings = SchedulerSettings::default();
    let mut scheduler = Scheduler::new(settings);
    let now = BootTime::default();
    for number in 0..200 {
        scheduler.submit(submission(number, "labels", step(1, 1_000)), now);
    }
    let mut stored = 0;
    while let Some(batch) = scheduler.next_batch() {
        let rows = batch.rows.iter();
        let entries: usize = rows
            .map(|row| {
                2 * usize::from(row.submission.is_some()) + 2 * usize::from(row.progress.is_some())
            })
            .sum();
        assert!(entries <= 99, "batch has {entries} entries");
        stored += batch.rows.len();
        scheduler.batch_stored(&batch, RowVersion::new(1), now);
    }
    assert_eq!(stored, 200);
}

fn wave(max_down: usize, vms: u32) -> Wave {
    Wave {
        id: "1".parse().expect("valid wave name"),
        vms: (0..vms)
            .map(|vm| format!("vm-{vm}").parse().expect("valid VM name"))
            .collect(),
        duration: Duration::from_secs(20),
        max_down,
        version: RowVersion::new(1),
    }
}

fn vm_rows(count: u32) -> Vec<VmRow> {
    let row = |vm: u32| VmRow {
        vm: format!("vm-{vm}").parse().expect("valid VM name"),
        pool: "labels".parse().expect("valid service name"),
        state: VmState::Up,
        worker: Some(format!("w-{vm}").parse().expect("valid worker name")),
        availability_zone: None,
        capacity: Resources::default(),
        labels: Vec::new(),
    };
    (0..count).map(row).collect()
}

#[test]
fn maintenance_is_called_for_only_after_it_is_stored_and_a_successor_repeats_the_call() {
    let now = BootTime::new(Duration::from_secs(50));
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.wave_requested(wave(2, 5), None, now, 1_000);
    scheduler.vms_listed(vm_rows(5), now, now);
    scheduler.tick(now, 1_000);
    assert_eq!(
        scheduler.take_actions(),
        vec![],
        "maintenance called for before the wave was stored"
    );
    let batch = scheduler.next_batch().expect("batch with the wave row");
    scheduler.batch_stored(&batch, RowVersion::new(7), now);
    assert_eq!(scheduler.take_actions().len(), 2);

    let stored =
        rhubarbfall_runs::decode_wave(&batch.waves[0].progress).expect("valid wave record");
    let mut successor = Scheduler::new(SchedulerSettings::default());
    successor.wave_requested(wave(2, 5), Some((stored, RowVersion::new(7))), now, 2_000);
    successor.vms_listed(vm_rows(5), now, now);
    successor.tick(now, 2_000);
    if let Some(batch) = successor.next_batch() {
        successor.batch_stored(&batch, RowVersion::new(8), now);
    }
    let repeated = successor.take_actions();
    assert_eq!(
        repeated.len(),
        2,
        "expected the two unanswered calls, got {repeated:?}"
    );
}

/// A new owner can read the stored progress of a wave before it learns that the wave is requested.
/// The progress is that of the wave: stored as new, it would conflict with its own row.
#[test]
fn a_wave_that_is_requested_after_its_progress_was_read_goes_on_from_it() {
    let now = BootTime::new(Duration::from_secs(50));
    let called = CalledVm {
        vm: "vm-0".parse().expect("valid VM name"),
        worker: None,
        has_begun: true,
    };
    let progress = WaveProgress {
        first_seen_unix_ms: 1_000,
        called: vec![called],
        ..WaveProgress::default()
    };
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    let requested = wave(2, 5);
    scheduler.recover_waves([(requested.id.clone(), Some((progress, RowVersion::new(7))))]);
    scheduler.wave_requested(requested, None, now, 2_000);
    scheduler.vms_listed(vm_rows(5), now, now);
    scheduler.tick(now, 2_000);
    let batch = scheduler.next_batch().expect("batch with the wave row");
    assert_eq!(batch.waves[0].replaces, Some(RowVersion::new(7)));
    let stored = rhubarbfall_runs::decode_wave(&batch.waves[0].progress);
    let stored = stored.expect("valid wave record");
    assert_eq!(stored.first_seen_unix_ms, 1_000);
    assert!(stored.called.iter().any(|called| called.has_begun));
}

/// The VMs that are down for a wave whose progress cannot be read are unknown.
#[test]
fn nothing_is_done_for_a_wave_whose_progress_cannot_be_read() {
    let now = BootTime::new(Duration::from_secs(50));
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    let requested = wave(2, 5);
    scheduler.recover_waves([(requested.id.clone(), None)]);
    for _ in 0..2 {
        scheduler.wave_requested(requested.clone(), None, now, 2_000);
        scheduler.vms_listed(vm_rows(5), now, now);
        scheduler.tick(now, 2_000);
        assert_eq!(scheduler.next_batch(), None);
        assert_eq!(scheduler.take_actions(), vec![]);
        assert_eq!(scheduler.unreported_waves(), vec![]);
    }
}

#[test]
fn an_unexpected_answer_about_a_vm_ends_no_run() {
    let mut model = Model::new(&[("labels", 2), ("spare", 0)], 4);
    model.submit(
        submission(1, "labels", step(1, 3_000)),
        Duration::from_secs(30),
    );
    model.run_for(Duration::from_secs(1));
    let before = model.runs_of(1);
    let vm = "vm-0".parse().expect("valid VM name");
    model.scheduler.vm_answered(&vm, Some(true), model.now);
    model.run_for(Duration::from_secs(1));
    assert_eq!(model.runs_of(1), before);
    assert_eq!(model.violations, Vec::<String>::new());
}

#[test]
fn a_new_owner_takes_no_vm_down_before_its_worker_has_answered() {
    let now = BootTime::new(Duration::from_secs(50));
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.recover(Vec::new(), now + Duration::from_secs(10), now, 0);
    scheduler.wave_requested(wave(2, 5), None, now, 1_000);
    scheduler.vms_listed(vm_rows(5), now, now);
    for step in 1..100 {
        let now = now + Duration::from_millis(100) * step;
        scheduler.tick(now, 1_000);
        if let Some(batch) = scheduler.next_batch() {
            scheduler.batch_stored(&batch, RowVersion::new(7), now);
        }
        assert_eq!(
            scheduler.take_actions(),
            vec![],
            "action after {step} steps, before inherited leases expired"
        );
    }
    let later = now + Duration::from_secs(11);
    scheduler.tick(later, 1_000);
    let batch = scheduler.next_batch().expect("batch with the wave row");
    scheduler.batch_stored(&batch, RowVersion::new(8), later);
    assert_eq!(
        scheduler.take_actions().len(),
        2,
        "calls after all inherited leases expired"
    );
}

#[test]
fn a_run_is_requeued_although_its_stop_is_confirmed_repeatedly() {
    let mut model = Model::new(&[("labels", 2), ("spare", 0)], 5);
    model.renewal_duration = Duration::from_millis(700);
    model.run_for(Duration::from_millis(200));
    for worker in &mut model.workers {
        worker.start_delay = Some(Duration::from_secs(100));
    }
    model.submit(submission(1, "labels", long_running(1, 1)), UNBOUNDED);
    model.run_for(Duration::from_secs(1));
    for worker in &mut model.workers {
        worker.start_delay = None;
    }
    model.run_for(Duration::from_secs(4));
    assert_eq!(model.runs_of(1).len(), 1);
    assert_eq!(model.violations, Vec::<String>::new());
}

#[test]
fn a_new_owner_places_nothing_on_a_vm_whose_maintenance_its_predecessor_called_for() {
    let mut model = Model::new(&[("labels", 2), ("spare", 0)], 6);
    let called = rhubarbfall_runs::scheduler::CalledVm {
        vm: "vm-0".parse().expect("valid VM name"),
        worker: Some("w-0-0".parse().expect("valid worker name")),
        has_begun: false,
    };
    let progress = rhubarbfall_runs::scheduler::WaveProgress {
        first_seen_unix_ms: 0,
        called: vec![called],
        returned_digests: Vec::new(),
    };
    let stored = Some((progress, RowVersion::new(3)));
    model
        .scheduler
        .wave_requested(wave(1, 1), stored, model.now, 0);
    for number in 0..6 {
        model.submit(submission(number, "labels", long_running(1, 1)), UNBOUNDED);
    }
    model.run_for(Duration::from_millis(700));
    assert_eq!(model.violations, Vec::<String>::new());
}

#[test]
fn no_long_running_task_is_interrupted_while_others_are_on_an_unreachable_worker() {
    let mut model = Model::new(&[("labels", 2), ("spare", 1)], 7);
    model.submit(submission(1, "labels", long_running(2, 1)), UNBOUNDED);
    model.run_for(Duration::from_secs(2));
    assert_eq!(model.runs_of(1).len(), 2);
    model.workers[0].is_cut_off = true;
    model.run_for(Duration::from_millis(1_500));
    let other = model.workers[1].report.id.clone();
    let mut wave_of_one = wave(1, 2);
    wave_of_one.vms.remove(0);
    model
        .scheduler
        .wave_requested(wave_of_one, None, model.now, 0);
    model.run_for(Duration::from_millis(300));
    let runs = model.runs_of(1);
    assert!(
        runs.contains(&(other, 1)),
        "run on the reachable worker was interrupted: {runs:?}"
    );
}

#[test]
fn a_worker_that_answered_a_new_owner_expires_by_the_new_owners_leases() {
    let mut model = Model::new(&[("labels", 3), ("spare", 0)], 8);
    model.submit(submission(1, "labels", long_running(1, 1)), UNBOUNDED);
    model.run_for(Duration::from_secs(1));
    model.fail_over();
    model.run_for(Duration::from_secs(1));
    let first = model.runs_of(1);
    model.cut_off(&first[0].0);
    model.run_for(Duration::from_secs(5));
    let second = model.runs_of(1);
    assert!(
        second.iter().any(|(worker, _)| *worker != first[0].0),
        "runs after the worker was cut off: {second:?}"
    );
    assert_eq!(model.violations, Vec::<String>::new());
}

#[test]
fn a_new_owner_knows_how_long_a_submission_has_waited() {
    let now = BootTime::new(Duration::from_secs(50));
    let mut waiting = submission(1, "labels", step(1, 1_000));
    waiting.received_unix_ms = 10_000;
    let bytes = rhubarbfall_runs::encode_submission(&waiting);
    let stored = rhubarbfall_runs::scheduler::StoredJob {
        submission: rhubarbfall_runs::decode_submission(&bytes).expect("valid submission record"),
        progress: None,
    };
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.recover([stored], now, now, 12_500);
    let ages: Vec<Duration> = scheduler
        .jobs()
        .map(|job| now.since(job.accepted_at))
        .collect();
    assert_eq!(ages, vec![Duration::from_millis(2_500)]);
}

#[test]
fn best_effort_tasks_are_slowed_down_while_a_tail_latency_beside_them_is_near_its_target() {
    let mut model = Model::new(&[("labels", 1), ("spare", 0)], 9);
    let serving = Step {
        tail_latency_target: Some(Duration::from_millis(80)),
        ..long_running(1, 1)
    };
    let best_effort = Step {
        is_best_effort: true,
        ..step(1, 8_000)
    };
    model.submit(submission(1, "labels", serving), UNBOUNDED);
    model.submit(submission(2, "labels", best_effort), UNBOUNDED);
    model.tail_ms = 30;
    model.run_for(Duration::from_secs(3));
    assert_eq!(model.paces, vec![]);
    model.tail_ms = 90;
    model.run_for(Duration::from_secs(2));
    let percents: Vec<u8> = model.paces.iter().map(|(_, percent)| *percent).collect();
    assert_eq!(percents, vec![50, 0]);
    model.tail_ms = 30;
    model.run_for(Duration::from_secs(8));
    assert_eq!(model.paces.last().map(|(_, percent)| *percent), Some(100));
}

#[test]
fn a_refused_call_about_a_vm_is_not_repeated_many_times_a_second() {
    let now = BootTime::new(Duration::from_secs(50));
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.wave_requested(wave(2, 5), None, now, 1_000);
    scheduler.vms_listed(vm_rows(5), now, now);
    let mut calls = 0;
    for step in 0..100 {
        let now = now + Duration::from_millis(10) * step;
        scheduler.tick(now, 1_000);
        if let Some(batch) = scheduler.next_batch() {
            scheduler.batch_stored(&batch, RowVersion::new(7), now);
        }
        for action in scheduler.take_actions() {
            if let Action::Vm {
                vm,
                operation: VmOperation::Maintain(_),
            } = action
            {
                calls += 1;
                scheduler.vm_answered(&vm, Some(false), now);
            }
        }
    }
    assert!((2..=6).contains(&calls), "{calls} calls within one second");
}

#[test]
fn a_submission_is_pending_until_a_worker_has_started_a_task() {
    let mut model = Model::new(&[("labels", 2), ("spare", 0)], 10);
    model.run_for(Duration::from_millis(200));
    for worker in &mut model.workers {
        worker.start_delay = Some(Duration::from_secs(100));
    }
    let queue = "labels".parse().expect("valid queue name");
    model.submit(
        submission(1, "labels", step(1, 1_000)),
        Duration::from_secs(9),
    );
    model.run_for(Duration::from_millis(300));
    assert_eq!(model.scheduler.pending(&queue), 1);
    for worker in &mut model.workers {
        worker.start_delay = None;
    }
    model.run_for(Duration::from_secs(3));
    assert_eq!(model.scheduler.pending(&queue), 0);
}

#[test]
fn a_refused_call_is_not_repeated_by_a_new_owner() {
    let now = BootTime::new(Duration::from_secs(50));
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.wave_requested(wave(1, 1), None, now, 1_000);
    scheduler.vms_listed(vm_rows(1), now, now);
    scheduler.tick(now, 1_000);
    let batch = scheduler.next_batch().expect("batch with the wave row");
    scheduler.batch_stored(&batch, RowVersion::new(7), now);
    assert_eq!(scheduler.take_actions().len(), 1);
    let vm = "vm-0".parse().expect("valid VM name");
    scheduler.vm_answered(&vm, Some(false), now);
    let batch = scheduler.next_batch().expect("batch with the wave row");
    let stored =
        rhubarbfall_runs::decode_wave(&batch.waves[0].progress).expect("valid wave record");
    assert_eq!(stored.called, vec![]);
}

#[test]
fn an_owner_knows_how_long_earlier_leases_may_last() {
    let now = BootTime::new(Duration::from_secs(50));
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    assert_eq!(scheduler.inherited_leases_remaining(now), Duration::ZERO);
    scheduler.recover(Vec::new(), now + Duration::from_secs(9), now, 0);
    let later = now + Duration::from_secs(2);
    scheduler.tick(later, 0);
    assert_eq!(
        scheduler.inherited_leases_remaining(later),
        Duration::from_secs(7)
    );
    scheduler.tick(now + Duration::from_secs(10), 0);
    assert_eq!(
        scheduler.inherited_leases_remaining(now + Duration::from_secs(10)),
        Duration::ZERO
    );
}

#[test]
fn a_submission_that_was_never_sent_to_the_store_can_be_withdrawn() {
    let mut model = Model::new(&[("labels", 1), ("spare", 0)], 12);
    model.run_for(Duration::from_millis(300));
    let now = model.now;
    model
        .scheduler
        .submit(submission(1, "labels", step(2, 9_000)), now);
    model.scheduler.tick(now, 0);
    let batch = model.scheduler.next_batch().expect("batch of changed jobs");
    // The store has not answered yet; the second job waits behind it with its tasks placed.
    model
        .scheduler
        .submit(submission(2, "labels", step(2, 9_000)), now);
    model.scheduler.tick(now, 0);
    let id = |number: u64| format!("{number:016x}").parse().expect("valid identifier");
    assert!(!model.scheduler.withdraw(&id(1), now));
    assert!(model.scheduler.withdraw(&id(2), now));
    assert_eq!(model.scheduler.jobs().count(), 1);
    let worker = model
        .scheduler
        .workers()
        .next()
        .expect("worker in the model");
    assert_eq!(worker.reserved.cpu_millis, 18_000);
    assert_eq!(worker.placed.len(), 2);
    model.store(&batch);
    assert_eq!(model.scheduler.next_batch(), None);
}

/// The time that a start waits for the store must not count as time without progress: the stall
/// check would stop runs that have just started.
#[test]
fn a_run_that_starts_late_is_not_treated_as_stalled() {
    let mut model = Model::new(&[("labels", 2), ("spare", 0)], 13);
    model.run_for(Duration::from_millis(300));
    model.is_store_blocked = true;
    model.submit(
        submission(1, "labels", step(4, 9_000)),
        Duration::from_secs(2),
    );
    model.run_for(Duration::from_millis(1_800));
    assert_eq!(model.starts, 0);
    model.is_store_blocked = false;
    model.run_for(Duration::from_secs(3));
    assert_eq!(model.starts, 4, "a task was started more than once");
    assert_eq!(model.count(JobState::Completed), 1);
}

/// When more jobs change than a transaction holds, every job must be stored in turn, whatever its
/// identifier: taking them in sorted order starves those at the end.
#[test]
fn no_job_is_kept_from_the_store_by_jobs_that_change_again() {
    let mut model = Model::new(&[("labels", 1), ("spare", 0)], 14);
    let now = model.now;
    for number in 0..120 {
        model
            .scheduler
            .submit(submission(number, "labels", step(1, 4_000)), now);
    }
    let mut stored = Vec::new();
    for _ in 0..4 {
        let batch = model.scheduler.next_batch().expect("batch of changed jobs");
        model.store(&batch);
        for row in &batch.rows {
            stored.push(row.id.clone());
            model.scheduler.cancel(&row.id, now);
        }
    }
    stored.sort();
    stored.dedup();
    assert_eq!(stored.len(), 120);
}
