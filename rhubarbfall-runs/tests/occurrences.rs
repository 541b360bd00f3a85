//! Schedules with many occurrences: one whose occurrences were due filled the memory of every owner, and
//! one that is served in time did so more slowly.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::schedules::{
    POOLS, begun_tasks, model_of_two_customers, of_other_customer, open_tasks, print_run, scheduled,
};
use model::{Model, step, submission};
use rhubarbfall_core::RowVersion;
use rhubarbfall_runs::scheduler::StoredJob;
use rhubarbfall_runs::{
    Job, JobProgress, JobState, OpenTask, PlacedRun, Scheduler, Step, SubmissionError,
    decode_progress, encode_progress, encode_progress_within,
};
use single_owner::Owner;

/// The size that the scheduler's settings allow for a row by default.
const MAX_ROW_BYTES: usize = 48 * 1024;

/// The number of open tasks for which a row has room.
const MAX_OPEN_TASKS: usize = 640;

const TASK_TIME: Duration = Duration::from_millis(300);

fn job(scheduler: &Scheduler, number: u64) -> &Job {
    let id = format!("{number:016x}");
    let mut jobs = scheduler.jobs();
    let found = jobs.find(|job| job.submission.id.as_str() == id);
    found.expect("a known submission")
}

/// Guards against `review/12`: a schedule of a year whose occurrences are all due.
#[test]
fn overdue_schedule_is_held_in_part() {
    let mut model = model_of_two_customers();
    let occurrences = 525_600;
    model.submit(print_run(1, occurrences), TASK_TIME);
    assert!(open_tasks(&model) <= MAX_OPEN_TASKS + 12);
    for second in 0..30 {
        if second == 5 {
            let other = of_other_customer(submission(2, "labels", step(6, 3_500)));
            model.submit(other, TASK_TIME);
        }
        model.run_for(Duration::from_secs(1));
        assert!(open_tasks(&model) <= MAX_OPEN_TASKS + 12 + 6);
        assert!(begun_tasks(&model) <= 2 * (MAX_OPEN_TASKS + 12) + 6);
        let longest = model.store.progress.values().map(|(row, _)| row.len());
        assert!(longest.max().unwrap_or_default() <= MAX_ROW_BYTES);
        if second == 6 {
            assert_eq!(job(&model.scheduler, 2).state, JobState::Completed);
        }
    }
    // Four workers of 64 cores do 18 tasks of 3.5 cores at a time each.
    let done = job(&model.scheduler, 1).done_occurrences();
    assert!(done > 300, "{done} occurrences in 30 s");
    assert_eq!(model.violations, Vec::<String>::new());
    assert_eq!(model.done_twice(), 0);
}

/// A new owner goes on where the row ends, whatever the number of occurrences before.
#[test]
fn next_owner_continues_an_overdue_schedule() {
    let mut model = model_of_two_customers();
    model.submit(print_run(1, 500), TASK_TIME);
    for _ in 0..6 {
        model.run_for(Duration::from_secs(5));
        model.fail_over();
        assert!(open_tasks(&model) <= MAX_OPEN_TASKS + 12);
    }
    model.run_for(Duration::from_secs(40));
    assert_eq!(model.count(JobState::Completed), 1);
    assert_eq!(model.done.len(), 500 * 12);
    assert_eq!(model.done_twice(), 0, "done tasks ran again");
}

/// A schedule that is served in time keeps none of its past.
#[test]
fn schedule_in_time_does_not_grow() {
    let mut model = model_of_two_customers();
    model.unix_began_at = Some(model.now);
    let each_tenth = scheduled(submission(1, "labels", step(2, 1_000)), 1_000_000, 100);
    model.submit(each_tenth, TASK_TIME);
    for _ in 0..10 {
        model.run_for(Duration::from_secs(6));
        let job = job(&model.scheduler, 1);
        assert!(job.occurrences.len() <= 10, "{}", job.occurrences.len());
        let row = model.store.progress.values().next().expect("a row");
        assert!(row.0.len() < 2_000, "a row of {} bytes", row.0.len());
    }
    let done = job(&model.scheduler, 1).done_occurrences();
    assert!(done > 580, "{done} occurrences in 60 s");
}

/// A task of the first occurrence does not end. The others go on as far as the row has room, and
/// after it all of them end.
#[test]
fn occurrences_behind_a_lasting_one_go_on_within_the_row() {
    let mut model = Model::new(&POOLS, 1);
    model.run_for(Duration::from_millis(300));
    let occurrences = 12_000;
    let one_task = scheduled(submission(1, "labels", step(1, 100)), occurrences, 0);
    model.submit(one_task, Duration::from_millis(20));
    let hold_first = |model: &mut Model| {
        let runs = model.workers.iter_mut().flat_map(|worker| &mut worker.runs);
        for run in runs.filter(|run| run.task.occurrence == 0) {
            run.remaining = Duration::from_secs(40);
        }
    };
    let check_rows = |model: &Model| {
        let longest = model.store.progress.values().map(|(row, _)| row.len());
        assert!(longest.max().unwrap_or_default() <= MAX_ROW_BYTES);
        assert!(begun_tasks(model) <= MAX_OPEN_TASKS + 1);
    };
    for _ in 0..2_000 {
        model.step();
        hold_first(&mut model);
        check_rows(&model);
    }
    let of_job = job(&model.scheduler, 1);
    assert_eq!(of_job.done_occurrences(), 0);
    let done = of_job.done.len();
    assert!(done > 4_000, "{done} occurrences behind the first one");
    model.fail_over();
    let of_job = job(&model.scheduler, 1);
    assert_eq!(of_job.done.len(), done);
    for _ in 0..120 {
        model.run_for(Duration::from_secs(1));
        check_rows(&model);
    }
    assert_eq!(model.count(JobState::Completed), 1);
    assert_eq!(model.done_twice(), 0, "done tasks ran again");
}

/// Rows of earlier versions state each done task, of the leading occurrences too.
#[test]
fn rows_of_earlier_versions_are_held_in_part() {
    let occurrences = 1_200;
    let running = OpenTask {
        position: (occurrences, 0, 1),
        failures: 0,
        last_run: 1,
        checkpoint: None,
        placed: Some(PlacedRun {
            worker: single_owner::id("w-1"),
            incarnation_unix_ms: 1,
            run: 1,
        }),
    };
    let whole = (0..occurrences).flat_map(|of| [(of, 0, 0), (of, 0, 1)]);
    let earlier = JobProgress {
        has_begun: true,
        has_started: true,
        done: whole.chain([(occurrences, 0, 0)]).collect(),
        open: vec![running],
        ..JobProgress::default()
    };
    let row = encode_progress(&earlier);
    let mut owner = Owner::new();
    let stored = StoredJob {
        submission: scheduled(submission(1, "labels", step(2, 1_000)), 1_000_000, 0),
        progress: Some((
            decode_progress(&row).expect("valid row"),
            RowVersion::new(1),
        )),
    };
    let (until, now) = (owner.now, owner.now);
    owner.scheduler.recover([stored], until, now, 0);
    let of_job = job(&owner.scheduler, 1);
    assert_eq!(of_job.done_occurrences(), occurrences);
    assert_eq!(of_job.occurrences.len(), 1);
    owner.scheduler.tick(now, 0);
    let of_job = job(&owner.scheduler, 1);
    assert!(of_job.begun_tasks() <= MAX_OPEN_TASKS + 2);
    let stored_again = encode_progress_within(&JobProgress::of(of_job), MAX_ROW_BYTES);
    let decoded = decode_progress(&stored_again).expect("valid row");
    assert_eq!(decoded.done_occurrences, occurrences);
    assert!(stored_again.len() < 200, "{} bytes", stored_again.len());
}

/// Long-running tasks of all occurrences run at the same time: more than a row holds are refused.
#[test]
fn long_running_occurrences_are_accepted_as_far_as_a_row_holds_them() {
    let lasting = |tasks: u32, occurrences| {
        let step = Step {
            is_long_running: true,
            ..step(tasks, 10)
        };
        scheduled(submission(1, "labels", step), occurrences, 0)
    };
    assert_eq!(
        lasting(64, 11).check(),
        Err(SubmissionError::TooManyAtOnce(704))
    );
    assert_eq!(
        lasting(1, u32::MAX).check(),
        Err(SubmissionError::TooLarge(u64::from(u32::MAX)))
    );
    let all = lasting(64, 10);
    assert_eq!(all.check(), Ok(()));
    let mut model = Model::new(&POOLS, 1);
    model.submit(all, Duration::from_secs(100_000));
    model.run_for(Duration::from_secs(3));
    let running: usize = model.workers.iter().map(|worker| worker.runs.len()).sum();
    assert_eq!(running, 640);
}

/// The largest numbers that a schedule may have.
#[test]
fn schedule_without_interval_and_end_is_held_in_part() {
    let mut model = model_of_two_customers();
    let endless = scheduled(submission(1, "labels", step(20_000, 10)), u32::MAX, 0);
    model.submit(endless, TASK_TIME);
    model.submit(
        scheduled(submission(2, "labels", step(1, 10)), u32::MAX, u64::MAX),
        TASK_TIME,
    );
    model.run_for(Duration::from_secs(5));
    assert!(begun_tasks(&model) <= 20_000 + 1);
    assert_eq!(model.violations, Vec::<String>::new());
}
