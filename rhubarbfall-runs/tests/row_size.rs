//! Rows at the size that the store accepts: a longer one is refused, so that nothing of its job, nor
//! of any other one in the same transaction, would ever be stored.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_core::{BootTime, RowVersion, SubmissionId, VmId};
use rhubarbfall_runs::scheduler::{
    Action, Batch, SchedulerSettings, StoredJob, SubmissionState, VmRow, VmState, Wave,
};
use rhubarbfall_runs::{
    JobProgress, JobState, OpenTask, PlacedRun, Resources, Schedule, Scheduler, Step, Submission,
    SubmissionError, decode_progress, decode_wave, encode_progress, encode_progress_within,
};
use single_owner::{Owner, id, running};

/// The size that the scheduler's settings allow by default.
const MAX_ROW_BYTES: usize = 48 * 1024;

const TASK_TIME: Duration = Duration::from_millis(500);

/// Runs until no job is active, and checks the size of every row that is stored meanwhile.
fn run_to_end(model: &mut Model, limit: Duration) {
    let end = model.now + limit;
    while model.now < end && model.count(JobState::Active) > 0 {
        model.step();
        let longest = model.store.progress.values().map(|(row, _)| row.len());
        let longest = longest.max().unwrap_or_default();
        assert!(longest <= MAX_ROW_BYTES, "a row of {longest} bytes");
    }
    assert_eq!(model.violations, Vec::<String>::new());
}

/// The progress of 2,500 small tasks outgrew the row while all of them ran, and the owner repeated
/// the refused transaction without end.
#[test]
fn a_large_submission_runs_a_part_at_a_time() {
    let mut model = Model::new(&[("labels", 9), ("spare", 0)], 1);
    model.submit(submission(1, "labels", step(2_500, 100)), TASK_TIME);
    model.submit(submission(2, "labels", step(3, 1_000)), TASK_TIME);
    run_to_end(&mut model, Duration::from_mins(1));
    assert_eq!(model.count(JobState::Completed), 2);
}

/// The same with as many tasks as a submission may have, and with a new owner half-way: it must know
/// which tasks are done, also where the row holds them as ranges.
#[test]
fn a_new_owner_continues_the_largest_submission() {
    let mut model = Model::new(&[("labels", 9), ("spare", 0)], 2);
    let long = Step {
        after: vec![0],
        ..step(18_000, 100)
    };
    let mut largest = submission(1, "labels", step(2_000, 100));
    largest.steps.push(long);
    model.submit(largest, TASK_TIME);
    for _ in 0..8 {
        model.run_for(Duration::from_secs(2));
        model.fail_over();
    }
    run_to_end(&mut model, Duration::from_mins(5));
    assert_eq!(model.count(JobState::Completed), 1);
    assert_eq!(model.done_twice(), 0, "done tasks ran again");
}

/// A schedule keeps the tasks of all its ended occurrences in its row.
#[test]
fn a_schedule_of_many_occurrences_keeps_a_short_row() {
    let mut job = done_schedule(20_000);
    assert!(encode_progress(&job).len() > MAX_ROW_BYTES);
    let row = encode_progress_within(&job, MAX_ROW_BYTES);
    assert!(row.len() < 100, "{} bytes", row.len());
    let mut owner = Owner::new();
    let scheduled = Submission {
        schedule: Some(Schedule {
            first_due_unix_ms: 0,
            interval_ms: 1,
            occurrences: 20_001,
        }),
        ..submission(1, "labels", step(2, 1_000))
    };
    job = decode_progress(&row).expect("valid progress record");
    let stored = StoredJob {
        submission: scheduled,
        progress: Some((job, RowVersion::new(1))),
    };
    let (until, now) = (owner.now, owner.now);
    owner.scheduler.recover([stored], until, now, 0);
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let starts: Vec<String> = owner
        .starts()
        .iter()
        .map(|start| start.task.to_string())
        .collect();
    assert_eq!(
        starts,
        ["0000000000000001.20000.0.0", "0000000000000001.20000.0.1"]
    );
}

fn done_schedule(occurrences: u32) -> JobProgress {
    let tasks = (0..occurrences).flat_map(|number| [(number, 0, 0), (number, 0, 1)]);
    JobProgress {
        has_begun: true,
        has_started: true,
        done_occurrences: occurrences,
        done: tasks.collect(),
        ..JobProgress::default()
    }
}

/// A worker reports a checkpoint that is longer than a row. The progress is stored without it.
#[test]
fn a_long_checkpoint_is_left_out_of_the_row() {
    let open = |index: u32, checkpoint: &str| OpenTask {
        position: (0, 0, index),
        failures: 0,
        last_run: 1,
        checkpoint: Some(checkpoint.into()),
        placed: Some(PlacedRun {
            worker: id("w-1"),
            incarnation_unix_ms: 1,
            run: 1,
        }),
    };
    let progress = JobProgress {
        has_begun: true,
        open: vec![open(0, &"x".repeat(100_000)), open(1, "00000bb8")],
        ..JobProgress::default()
    };
    let row = encode_progress_within(&progress, MAX_ROW_BYTES);
    let stored = decode_progress(&row).expect("valid progress record");
    let checkpoints: Vec<_> = stored
        .open
        .iter()
        .map(|task| task.checkpoint.as_deref())
        .collect();
    assert_eq!(checkpoints, [None, Some("00000bb8")]);
}

/// A short row has the format of the earlier version, which reads it after a rollback.
#[test]
fn a_row_that_fits_is_stored_as_before() {
    let progress = done_schedule(100);
    let row = encode_progress_within(&progress, MAX_ROW_BYTES);
    assert_eq!(row, encode_progress(&progress));
}

/// What cannot be stored or started at all is refused at once instead of accepted and stuck.
#[test]
fn a_submission_beyond_the_row_is_refused() {
    let mut long = submission(1, "labels", step(1, 1_000));
    long.program = "x".repeat(MAX_ROW_BYTES).into();
    let refusal = long.check_storable(MAX_ROW_BYTES);
    assert!(matches!(
        refusal,
        Err(SubmissionError::TooLong(_, MAX_ROW_BYTES))
    ));
    let gang = Step {
        is_gang: true,
        ..step(641, 10)
    };
    let refusal = submission(1, "labels", gang).check();
    assert_eq!(refusal, Err(SubmissionError::TooManyAtOnce(641)));
    let lasting = Step {
        is_long_running: true,
        ..step(640, 10)
    };
    assert_eq!(submission(1, "labels", lasting).check(), Ok(()));
}

/// The largest gang that is accepted fits into the row at once.
#[test]
fn the_largest_gang_starts_whole() {
    let mut model = Model::new(&[("labels", 9), ("spare", 0)], 3);
    let gang = Step {
        is_gang: true,
        ..step(640, 100)
    };
    model.submit(submission(1, "labels", gang), Duration::from_mins(10));
    model.run_for(Duration::from_secs(2));
    assert_eq!(model.runs_of(1).len(), 640);
}

/// Takes the next batch, of which the store refuses the changes of one submission, and stores the
/// others.
fn store_all_but(owner: &mut Owner, refused: &SubmissionId) {
    owner.scheduler.tick(owner.now, owner.now.as_millis());
    let mut left: Vec<Batch> = owner.scheduler.next_batch().into_iter().collect();
    while let Some(batch) = left.pop() {
        if !batch.rows.iter().any(|row| row.id == *refused) {
            owner.rows += 1;
            let version = RowVersion::new(owner.rows);
            owner.scheduler.batch_stored(&batch, version, owner.now);
            continue;
        }
        let mut changes = batch.into_single_changes();
        if changes.len() == 1 {
            owner.scheduler.change_refused(&changes[0], owner.now);
        } else {
            left.append(&mut changes);
        }
    }
}

/// The store refuses what belongs to one submission, whatever it is sent: the others are stored.
#[test]
fn a_refused_submission_holds_up_no_other() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let now = owner.now;
    for number in [1, 2, 3] {
        owner
            .scheduler
            .submit(submission(number, "labels", step(1, 1_000)), now);
    }
    let refused = submission(2, "labels", step(1, 1_000)).id;
    store_all_but(&mut owner, &refused);
    assert_eq!(owner.scheduler.submission_state(&refused), None);
    let starts = owner.starts();
    assert_eq!(starts.len(), 2, "the refused submission started");
    let reserved: u64 = owner
        .reserved()
        .iter()
        .map(|(_, used)| used.cpu_millis)
        .sum();
    assert_eq!(reserved, 2_000, "the refused submission keeps its place");
}

/// The store begins to refuse the progress of a submission that runs: it fails, its run is stopped,
/// and ends of other submissions on the same worker are acknowledged.
#[test]
fn refused_progress_fails_its_submission_alone() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let now = owner.now;
    for number in [1, 2] {
        owner
            .scheduler
            .submit(submission(number, "labels", step(2, 1_000)), now);
    }
    let starts = owner.starts();
    for start in &starts {
        owner.accept(start);
    }
    let refused = submission(1, "labels", step(2, 1_000)).id;
    let (ended, left): (Vec<_>, Vec<_>) = starts.iter().partition(|start| start.task.index == 0);
    let ends = ended
        .iter()
        .zip(1..)
        .map(|(start, number)| rhubarbfall_runs::RunEnd {
            number,
            task: start.task.clone(),
            run: start.run,
            kind: rhubarbfall_runs::RunEndKind::Done,
            checkpoint: None,
        });
    let running = left.iter().map(|start| running(start)).collect();
    owner.answer("w-1", 1, running, ends.collect());
    // The first refusal is of the progress, the second of the final state.
    for _ in 0..2 {
        store_all_but(&mut owner, &refused);
    }
    let state = owner
        .scheduler
        .jobs()
        .find(|job| job.submission.id == refused);
    assert_eq!(state.map(|job| job.state), Some(JobState::Failed));
    let request = owner.scheduler.lease_renewal_request(&id("w-1"), owner.now);
    assert_eq!(request.map(|request| request.acknowledged), Some(2));
    assert_eq!(owner.stops(), 1);
    let other = submission(2, "labels", step(2, 1_000)).id;
    let state = owner.scheduler.submission_state(&other);
    assert_eq!(state, Some(SubmissionState::Running));
}

/// The names of the VMs that a wave of thousands has called for are longer than a row. A new owner
/// must neither call for them again nor count them as down.
#[test]
fn a_wave_of_thousands_of_vms_is_continued_by_a_new_owner() {
    let vms: Vec<VmId> = (0..3_000).map(vm).collect();
    let wave = Wave {
        id: "1".parse().expect("valid wave name"),
        vms: vms.clone(),
        duration: Duration::from_secs(10),
        max_down: 500,
        version: RowVersion::new(1),
    };
    let mut now = BootTime::new(Duration::from_secs(100));
    let (mut stored, mut called) = (None, Vec::new());
    for _ in 0..4 {
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        scheduler.wave_requested(wave.clone(), stored.clone(), now, now.as_millis());
        let mut store = |scheduler: &mut Scheduler, now: BootTime| {
            while let Some(batch) = scheduler.next_batch() {
                let row = batch.waves[0].progress.clone();
                assert!(row.len() <= MAX_ROW_BYTES, "a row of {} bytes", row.len());
                let progress = decode_wave(&row).expect("valid wave record");
                stored = Some((progress, RowVersion::new(now.as_millis())));
                scheduler.batch_stored(&batch, RowVersion::new(now.as_millis()), now);
            }
        };
        for _ in 0..120 {
            now = now + Duration::from_millis(200);
            scheduler.vms_listed(vms.iter().map(up_vm).collect(), now, now);
            scheduler.tick(now, now.as_millis());
            store(&mut scheduler, now);
            for action in scheduler.take_actions() {
                if let Action::Vm { vm, .. } = action {
                    scheduler.vm_answered(&vm, Some(true), now);
                    called.push(vm);
                }
            }
        }
        store(&mut scheduler, now);
    }
    let calls = called.len();
    called.sort();
    called.dedup();
    assert!(called.len() > 2_500, "{} VMs were called for", called.len());
    assert_eq!(called.len(), calls, "a VM was called for twice");
}

fn vm(number: u32) -> VmId {
    format!("m-{number:020}").parse().expect("valid VM name")
}

fn up_vm(vm: &VmId) -> VmRow {
    VmRow {
        vm: vm.clone(),
        pool: "labels".parse().expect("valid service name"),
        state: VmState::Up,
        worker: None,
        availability_zone: None,
        capacity: Resources::default(),
        labels: Vec::new(),
    }
}
