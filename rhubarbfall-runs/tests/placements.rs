//! Hand-overs of a placed task that a simulation of `tests/cancellation.rs` found, each as its
//! shortest sequence of events.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::{step, submission};
use rhubarbfall_core::RowVersion;
use rhubarbfall_runs::{JobProgress, JobState, PlacedRun, RunEnd, RunEndKind, StartOutcome, Step};
use single_owner::{Owner, id, owner_with_gang, report_done, running, stored_job};

/// Starts the gang on two workers and reports it as done by one member's end.
fn owner_with_finished_gang() -> Owner {
    let (mut owner, starts) = owner_with_gang();
    report_done(&mut owner, &starts[0]);
    owner
}

/// A gang whose end is reported by one member: the others keep their places for ever, since their
/// own ends belong to no placed task any more.
#[test]
fn the_end_of_one_gang_member_frees_the_places_of_all() {
    let owner = owner_with_finished_gang();
    assert_eq!(owner.reserved(), vec![]);
}

/// The same where the member whose end is listed is no longer placed.
#[test]
fn the_end_of_a_waiting_gang_member_frees_the_places_of_all() {
    let (mut owner, starts) = owner_with_gang();
    owner.now = owner.now + Duration::from_millis(100);
    let worker = starts[0].worker.to_string();
    owner.answer(&worker, 1, Vec::new(), Vec::new());
    assert_eq!(owner.reserved().len(), 1);
    report_done(&mut owner, &starts[0]);
    assert_eq!(owner.reserved(), vec![]);
}

/// A task of a finished gang that still has a place: when its worker starts again, the task counts
/// as waiting, is stored as such, and a new owner runs the gang again.
#[test]
fn a_finished_gang_stays_finished_when_a_worker_starts_again() {
    let mut owner = owner_with_finished_gang();
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    owner.answer("w-2", 2, Vec::new(), Vec::new());
    let job = owner.scheduler.jobs().next().expect("the gang's job");
    let done: Vec<_> = JobProgress::of(job).done.positions().collect();
    assert_eq!(done, vec![(0, 0, 0), (0, 0, 1)]);
}

/// A cancelled submission with a run on a worker that has gone when a new owner takes over: the
/// task stays placed, and its customer's limit and its worker's VM stay taken.
#[test]
fn an_ended_submission_leaves_a_worker_that_never_answers() {
    let mut owner = Owner::new();
    let placed = PlacedRun {
        worker: id("w-1"),
        incarnation_unix_ms: 1,
        run: 1,
    };
    let stored = stored_job(JobState::Cancelled, placed);
    let inherited = owner.now + Duration::from_secs(10);
    owner
        .scheduler
        .recover([stored], inherited, owner.now, owner.now.as_millis());
    owner.list("w-1");
    owner.scheduler.worker_unlisted(&id("w-1"));
    for _ in 0..110 {
        owner.starts();
    }
    assert_eq!(owner.reserved(), vec![]);
}

/// Every state of a run at its submission's cancel, with every outcome of a start that is answered
/// after it: a run that the worker lists is stopped again and again, and one that it does not list
/// any more leaves nothing placed.
#[test]
fn a_cancel_in_every_state_of_a_run_stops_it() {
    let outcomes = [
        None,
        Some(StartOutcome::Accepted),
        Some(StartOutcome::Fenced),
        Some(StartOutcome::RunTooOld),
        Some(StartOutcome::LeaseTooOld),
        Some(StartOutcome::NoRoom),
        Some(StartOutcome::OtherWorker),
        Some(StartOutcome::TicketRefused),
        Some(StartOutcome::Refused),
        Some(StartOutcome::NotSent),
        Some(StartOutcome::Unknown),
    ];
    for before in outcomes {
        for after in outcomes {
            for is_stored_first in [false, true] {
                for is_confirmed in [false, true] {
                    cancel_between(before, after, is_stored_first, is_confirmed);
                }
            }
        }
    }
}

/// Cancels between two answers to the same start, and checks what follows.
fn cancel_between(
    before: Option<StartOutcome>,
    after: Option<StartOutcome>,
    is_stored_first: bool,
    is_confirmed: bool,
) {
    let case = format!("{before:?}, cancel, {after:?}, {is_stored_first}, {is_confirmed}");
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let submission = submission(1, "labels", step(1, 4_000));
    let submission_id = submission.id.clone();
    owner.scheduler.submit(submission, owner.now);
    let start = owner.starts().remove(0);
    let answer = |owner: &mut Owner, outcome: Option<StartOutcome>| {
        if let Some(outcome) = outcome {
            let (task, worker) = (&start.task, &start.worker);
            owner
                .scheduler
                .start_answered(task, worker, start.run, outcome, owner.now);
        }
    };
    answer(&mut owner, before);
    owner.scheduler.cancel(&submission_id, owner.now);
    if is_stored_first {
        owner.stops();
    }
    answer(&mut owner, after);
    // The worker has the run for two seconds, whatever was answered.
    let mut stops = 0;
    for _ in 0..20 {
        owner.answer("w-1", 1, vec![running(&start)], Vec::new());
        let ordered = owner.stops();
        stops += usize::from(ordered > 0);
        if is_confirmed && ordered > 0 {
            owner.confirm_stop(&start, 1);
        }
    }
    assert!(stops >= 3, "{case}: {stops} stops in two seconds");
    // A stop that was never confirmed is confirmed late; the run is gone then.
    owner.confirm_stop(&start, 1);
    owner.now = owner.now + Duration::from_millis(100);
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    assert_eq!(owner.reserved(), vec![], "{case}");
    assert_eq!(owner.starts(), vec![], "{case}");
}

/// A submission that is cancelled while the store is silent and then withdrawn: the cancel is
/// forgotten with it and its repetition finds nothing, but the entry that took the submission
/// repeats it too, and its runs start after the caller was told that there is none.
#[test]
fn a_withdrawn_submission_that_was_cancelled_does_not_start_when_it_is_repeated() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let submission = submission(1, "labels", step(1, 4_000));
    let id = submission.id.clone();
    owner.scheduler.submit(submission.clone(), owner.now);
    assert!(owner.scheduler.cancel(&id, owner.now).is_some());
    owner.scheduler.withdraw(&id, owner.now);
    let answer = owner.scheduler.cancel(&id, owner.now);
    owner.scheduler.submit(submission, owner.now);
    assert_eq!(
        (answer.is_some(), owner.starts()),
        (true, vec![]),
        "(the cancel is known, starts)"
    );
}

/// A cancel that waits for its version to be stored, of a submission that is withdrawn and
/// submitted again meanwhile: the versions of the new job count from one, so that the cancel is
/// acknowledged once the placements of a job that nobody has cancelled are stored.
#[test]
fn a_cancel_is_not_acknowledged_by_a_later_job_of_the_same_submission() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let submission = submission(1, "labels", step(1, 4_000));
    let id = submission.id.clone();
    owner.scheduler.submit(submission.clone(), owner.now);
    let version = owner.scheduler.cancel(&id, owner.now);
    let version = version.expect("a known submission");
    owner.scheduler.withdraw(&id, owner.now);
    owner.scheduler.submit(submission, owner.now);
    let starts = owner.starts().len();
    let is_acknowledged = owner.scheduler.is_stored(&id, version) == Some(true);
    assert!(
        !(is_acknowledged && starts > 0),
        "the cancel is acknowledged and {starts} run starts"
    );
}

/// A worker refuses a start and gets no work for a while. On a quiet fleet nothing else happens: the
/// task stayed queued for good, with room for it.
#[test]
fn a_refused_task_starts_again_once_its_worker_is_out_of_quarantine() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let start = owner.starts().remove(0);
    let (task, worker) = (&start.task, &start.worker);
    owner
        .scheduler
        .start_answered(task, worker, start.run, StartOutcome::Refused, owner.now);
    let refused_at = owner.now;
    let mut starts = Vec::new();
    for _ in 0..30 {
        owner.answer("w-1", 1, Vec::new(), Vec::new());
        owner.confirm_ownership();
        starts.extend(owner.starts());
        if !starts.is_empty() {
            break;
        }
    }
    assert_eq!(starts.len(), 1);
    let waited = owner.now.since(refused_at);
    assert!(waited < Duration::from_millis(1_500), "{waited:?}");
}

/// A worker that was silent for a moment answers before its leases have lapsed: the same without a
/// refusal.
#[test]
fn a_task_starts_once_a_silent_worker_answers_again() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let first = owner.starts().remove(0);
    owner.accept(&first);
    owner.answer("w-1", 1, vec![running(&first)], Vec::new());
    for _ in 0..14 {
        assert_eq!(owner.starts(), vec![]);
    }
    owner
        .scheduler
        .submit(submission(2, "labels", step(1, 4_000)), owner.now);
    // The second time nothing is left to be stored.
    for _ in 0..2 {
        assert_eq!(owner.starts(), vec![]);
    }
    owner.answer("w-1", 1, vec![running(&first)], Vec::new());
    assert_eq!(owner.starts().len(), 1);
}

/// A gang that fits nowhere waits beside a task whose run has failed: looking for its workers discarded
/// that the task was to be looked at again after its delay, and the task never started.
#[test]
fn a_delayed_task_starts_beside_a_gang_that_fits_nowhere() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let gang = Step {
        is_gang: true,
        ..step(3, 1_000_000)
    };
    owner
        .scheduler
        .submit(submission(1, "labels", gang), owner.now);
    owner
        .scheduler
        .submit(submission(2, "labels", step(1, 4_000)), owner.now);
    let start = owner.starts().remove(0);
    owner.accept(&start);
    let end = RunEnd {
        number: 1,
        task: start.task.clone(),
        run: start.run,
        kind: RunEndKind::Failed,
        checkpoint: None,
    };
    owner.answer("w-1", 1, Vec::new(), vec![end]);
    // The end is stored before the task's delay is over.
    let batch = owner.scheduler.next_batch().expect("the end of the run");
    owner.rows += 1;
    let version = RowVersion::new(owner.rows);
    owner.scheduler.batch_stored(&batch, version, owner.now);
    owner.scheduler.tick(owner.now, owner.now.as_millis());
    assert_eq!(owner.starts().len(), 1);
}
