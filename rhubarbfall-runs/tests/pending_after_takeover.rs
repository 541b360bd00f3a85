//! The number of submissions that have not started, as a new owner reports it: a stored placement
//! does not tell whether the worker has started the task.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::{step, submission};
use rhubarbfall_core::{QueueId, RowVersion};
use rhubarbfall_runs::scheduler::{StartOrder, StoredJob, SubmissionState};
use rhubarbfall_runs::{
    JobProgress, LeaseRenewalResponse, RunEnd, RunEndKind, StartOutcome, decode_progress,
};
use single_owner::{Owner, id, running};

fn queue() -> QueueId {
    "labels".parse().expect("valid queue name")
}

/// An owner with one worker, whose first order to start a submission's task is returned.
struct Predecessor {
    owner: Owner,
    start: StartOrder,
    progress: Vec<u8>,
}

impl Predecessor {
    fn new() -> Self {
        let mut owner = Owner::new();
        owner.list("w-1");
        owner.answer("w-1", 1, Vec::new(), Vec::new());
        let now = owner.now;
        owner
            .scheduler
            .submit(submission(1, "labels", step(1, 4_000)), now);
        owner.scheduler.tick(now, now.as_millis());
        let mut predecessor = Self {
            start: StartOrder {
                worker: id("w-1"),
                incarnation_unix_ms: 1,
                address: "127.0.0.1:1".parse().expect("valid address"),
                task: "0000000000000001.0.0.0".parse().expect("valid task name"),
                run: 1,
                program: "".into(),
                checkpoint: None,
                lease_deadline_ms: 0,
                ticket: None,
            },
            owner,
            progress: Vec::new(),
        };
        let starts = predecessor.store();
        predecessor.start = starts.into_iter().next().expect("an order to start");
        predecessor
    }

    /// Stores what has changed, keeps the newest progress row, and returns the starts.
    fn store(&mut self) -> Vec<StartOrder> {
        let owner = &mut self.owner;
        while let Some(batch) = owner.scheduler.next_batch() {
            owner.rows += 1;
            if let Some(progress) = batch.rows.iter().find_map(|row| row.progress.clone()) {
                self.progress = progress;
            }
            let version = RowVersion::new(owner.rows);
            owner.scheduler.batch_stored(&batch, version, owner.now);
        }
        owner.starts()
    }

    fn refuse(&mut self) {
        let (task, worker) = (self.start.task.clone(), self.start.worker.clone());
        let (outcome, now) = (StartOutcome::Refused, self.owner.now);
        self.owner
            .scheduler
            .start_answered(&task, &worker, self.start.run, outcome, now);
        self.store();
    }

    fn stored_progress(&self) -> JobProgress {
        decode_progress(&self.progress).expect("valid progress record")
    }

    fn successor(&self) -> Owner {
        take_over(self.stored_progress())
    }
}

fn take_over(progress: JobProgress) -> Owner {
    let mut owner = Owner::new();
    let stored = StoredJob {
        submission: submission(1, "labels", step(1, 4_000)),
        progress: Some((progress, RowVersion::new(1))),
    };
    let (until, now) = (owner.now + Duration::from_secs(9), owner.now);
    owner
        .scheduler
        .recover([stored], until, now, now.as_millis());
    owner
}

fn state(owner: &Owner) -> Option<SubmissionState> {
    let id = submission(1, "labels", step(1, 4_000)).id;
    owner.scheduler.submission_state(&id)
}

/// A worker refuses the start, the owner changes: the submission has not begun and was left out.
#[test]
fn a_refused_start_leaves_the_submission_pending_at_the_next_owner() {
    let mut predecessor = Predecessor::new();
    predecessor.refuse();
    let successor = predecessor.successor();
    assert_eq!(successor.scheduler.pending(&queue()), 1);
    assert_eq!(state(&successor), Some(SubmissionState::Queued));
}

/// The owner changes between the stored placement and the start. The worker's list tells that
/// nothing has started; a run in the list tells the opposite.
#[test]
fn a_placement_counts_as_pending_until_its_worker_lists_the_run() {
    let predecessor = Predecessor::new();
    for is_running in [false, true] {
        let mut successor = predecessor.successor();
        assert_eq!(successor.scheduler.pending(&queue()), 1);
        successor.list("w-1");
        let runs = is_running.then(|| running(&predecessor.start));
        successor.answer("w-1", 1, runs.into_iter().collect(), Vec::new());
        let expected = usize::from(!is_running);
        assert_eq!(successor.scheduler.pending(&queue()), expected);
    }
}

/// A run that a worker has started and that is lost counts as a start for every later owner,
/// although its task waits again.
#[test]
fn a_lost_run_is_not_pending_at_the_next_owner() {
    let mut predecessor = Predecessor::new();
    let start = predecessor.start.clone();
    predecessor.owner.accept(&start);
    let end = RunEnd {
        number: 1,
        task: start.task.clone(),
        run: start.run,
        kind: RunEndKind::Lapsed,
        checkpoint: None,
    };
    let response = LeaseRenewalResponse {
        clock_ms: predecessor.owner.now.as_millis(),
        incarnation_unix_ms: 1,
        running: Vec::new(),
        ended: vec![end],
        may_have_more_ends: false,
    };
    let now = predecessor.owner.now;
    predecessor
        .owner
        .scheduler
        .lease_renewal_answered(&start.worker, now, &response, now);
    predecessor.store();
    let successor = predecessor.successor();
    assert_eq!(successor.scheduler.pending(&queue()), 0);
    assert_eq!(state(&successor), Some(SubmissionState::Running));
}

/// Rows of the earlier version do not say whether a task has started: ends do.
#[test]
fn rows_of_the_earlier_version_count_as_started_by_their_ends() {
    let predecessor = Predecessor::new();
    let earlier = JobProgress {
        has_started: false,
        ..predecessor.stored_progress()
    };
    assert_eq!(take_over(earlier.clone()).scheduler.pending(&queue()), 1);
    let mut failed_once = earlier;
    failed_once.open[0].failures = 1;
    assert_eq!(take_over(failed_once).scheduler.pending(&queue()), 0);
}
