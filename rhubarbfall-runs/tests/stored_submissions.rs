//! A submission that its owner takes for new although the store has it: the owner learns of it when
//! it stores the submission, and the job that it has created meanwhile must leave nothing behind.

mod model;

use std::time::Duration;

use model::{WORKER_CAPACITY, config, step, submission};
use rhubarbfall_core::{BootTime, RowVersion, SubmissionId};
use rhubarbfall_runs::scheduler::{Action, Batch, SchedulerSettings, StoredJob, SubmissionState};
use rhubarbfall_runs::{
    DoneTasks, JobProgress, JobState, LeaseRenewalResponse, OpenTask, PlacedRun, Scheduler,
    Submission, WorkerReport, decode_progress,
};

/// The version of the stored progress row.
const STORED: RowVersion = RowVersion::new(7);

/// Versions of the batches that are stored afterwards.
const LATER: RowVersion = RowVersion::new(9);

fn one_task(number: u64) -> Submission {
    submission(number, "labels", step(1, 4_000))
}

fn id(number: u64) -> SubmissionId {
    one_task(number).id
}

struct Owner {
    scheduler: Scheduler,
    now: BootTime,
}

impl Owner {
    /// Returns an owner with one worker that runs nothing.
    fn new() -> Self {
        let now = BootTime::new(Duration::from_secs(100));
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        scheduler.set_config(config(&["labels", "spare"]).into());
        scheduler.confirm_ownership(now + Duration::from_secs(9));
        let report = WorkerReport {
            id: "w-1".parse().expect("valid worker name"),
            address: "127.0.0.1:1".parse().expect("valid address"),
            service: "labels".parse().expect("valid service name"),
            vm: None,
            availability_zone: "zone-a".parse().expect("valid availability zone name"),
            capacity: WORKER_CAPACITY,
            labels: Vec::new(),
            rack: None,
            is_draining: false,
            incarnation_unix_ms: 1,
        };
        scheduler.worker_listed(report, now);
        let mut owner = Self { scheduler, now };
        owner.answer();
        owner
    }

    /// The worker answers that it runs nothing.
    fn answer(&mut self) {
        let sent_at = self.now;
        self.now = self.now + Duration::from_millis(10);
        let answer = LeaseRenewalResponse {
            clock_ms: self.now.as_millis(),
            incarnation_unix_ms: 1,
            running: Vec::new(),
            ended: Vec::new(),
            may_have_more_ends: false,
        };
        let worker = "w-1".parse().expect("valid worker name");
        self.scheduler
            .lease_renewal_answered(&worker, sent_at, &answer, self.now);
    }

    fn next_batch(&mut self) -> Option<Batch> {
        self.now = self.now + Duration::from_millis(100);
        self.scheduler.tick(self.now, self.now.as_millis());
        self.scheduler.next_batch()
    }

    /// Takes what the store turned out to hold out of the batch, and stores the rest.
    fn store_rest(&mut self, mut batch: Batch, found: &SubmissionId, stored: Option<StoredJob>) {
        batch.rows.retain(|row| row.id != *found);
        self.scheduler
            .submission_found(found, stored, self.now, self.now.as_millis());
        self.scheduler.batch_stored(&batch, LATER, self.now);
    }

    /// Stores all batches and returns the submissions of the started tasks.
    fn starts(&mut self) -> Vec<SubmissionId> {
        while let Some(batch) = self.next_batch() {
            self.scheduler.batch_stored(&batch, LATER, self.now);
        }
        let actions = self.scheduler.take_actions();
        let starts = actions.into_iter().filter_map(|action| match action {
            Action::Start(order) => Some(order.task.submission),
            _ => None,
        });
        starts.collect()
    }

    fn placed_tasks(&self) -> usize {
        self.scheduler
            .workers()
            .map(|worker| worker.placed.len())
            .sum()
    }

    fn is_stored(&self, number: u64, version: u64) -> Option<bool> {
        self.scheduler.is_stored(&id(number), version)
    }
}

fn stored(number: u64, state: JobState, placed: Option<PlacedRun>) -> StoredJob {
    let open = placed.map(|placed| OpenTask {
        position: (0, 0, 0),
        failures: 0,
        last_run: placed.run,
        checkpoint: None,
        placed: Some(placed),
    });
    let progress = JobProgress {
        state,
        has_begun: true,
        has_started: false,
        done_occurrences: 0,
        done: DoneTasks::default(),
        open: open.into_iter().collect(),
    };
    StoredJob {
        submission: one_task(number),
        progress: Some((progress, STORED)),
    }
}

/// An ended submission is accepted again with its state. Nothing of it runs, and its rows are not
/// written again.
#[test]
fn a_copy_of_an_ended_submission_is_accepted_and_does_not_run() {
    for (state, shown) in [
        (JobState::Completed, SubmissionState::Completed),
        (JobState::Failed, SubmissionState::Failed),
        (JobState::Cancelled, SubmissionState::Cancelled),
    ] {
        let mut owner = Owner::new();
        let version = owner.scheduler.submit(one_task(1), owner.now);
        let batch = owner.next_batch().expect("the copy");
        assert_eq!(owner.placed_tasks(), 1);
        owner.store_rest(batch, &id(1), Some(stored(1, state, None)));
        assert_eq!(owner.is_stored(1, version), Some(true));
        assert_eq!(owner.scheduler.submission_state(&id(1)), Some(shown));
        assert_eq!(owner.placed_tasks(), 0);
        assert_eq!(owner.next_batch(), None);
        assert_eq!(owner.starts(), vec![]);
    }
}

/// A submission that cannot be read is neither accepted nor withdrawn as one that has not run, and
/// its next copy does not reach the store.
#[test]
fn a_copy_of_a_submission_that_cannot_be_read_is_neither_accepted_nor_run() {
    let mut owner = Owner::new();
    let version = owner.scheduler.submit(one_task(1), owner.now);
    let batch = owner.next_batch().expect("the copy");
    owner.store_rest(batch, &id(1), None);
    for _ in 0..2 {
        assert_eq!(owner.is_stored(1, version), None);
        assert!(!owner.scheduler.withdraw(&id(1), owner.now));
        assert_eq!(owner.placed_tasks(), 0);
        assert_eq!(owner.next_batch(), None);
        assert_eq!(owner.starts(), vec![]);
        owner.scheduler.submit(one_task(1), owner.now);
    }
    let mut successor = Owner::new();
    successor.scheduler.recover_unreadable(vec![id(1)]);
    successor.scheduler.submit(one_task(1), successor.now);
    assert_eq!(successor.next_batch(), None);
    assert!(!successor.scheduler.withdraw(&id(1), successor.now));
}

/// The other submissions of the batch are accepted and start.
#[test]
fn the_rest_of_the_batch_is_stored() {
    for found in [None, Some(stored(2, JobState::Completed, None))] {
        let mut owner = Owner::new();
        for number in [1, 2, 3] {
            owner.scheduler.submit(one_task(number), owner.now);
        }
        let batch = owner.next_batch().expect("three submissions");
        assert_eq!(batch.rows.len(), 3);
        owner.store_rest(batch, &id(2), found);
        assert_eq!(owner.is_stored(1, 1), Some(true));
        assert_eq!(owner.is_stored(3, 1), Some(true));
        let mut starts = owner.starts();
        starts.sort();
        assert_eq!(starts, vec![id(1), id(3)]);
        assert_eq!(owner.placed_tasks(), 2);
    }
}

/// A cancel of the copy waits for a version of the job that is replaced. It is confirmed at once if
/// the stored submission has ended.
#[test]
fn a_cancel_of_the_copy_is_confirmed_by_the_ended_submission() {
    let mut owner = Owner::new();
    owner.scheduler.submit(one_task(1), owner.now);
    let batch = owner.next_batch().expect("the copy");
    let version = owner.scheduler.cancel(&id(1), owner.now);
    let version = version.expect("a known submission");
    owner.store_rest(batch, &id(1), Some(stored(1, JobState::Completed, None)));
    assert_eq!(owner.is_stored(1, version), Some(true));
    assert_eq!(owner.starts(), vec![]);
}

/// A cancel of the copy applies to a stored submission that is active, and is confirmed once it is
/// stored in place of the row that was read.
#[test]
fn a_cancel_of_the_copy_applies_to_the_active_submission() {
    let mut owner = Owner::new();
    owner.scheduler.submit(one_task(1), owner.now);
    let batch = owner.next_batch().expect("the copy");
    let version = owner.scheduler.cancel(&id(1), owner.now);
    let version = version.expect("a known submission");
    owner.store_rest(batch, &id(1), Some(stored(1, JobState::Active, None)));
    assert_eq!(owner.is_stored(1, version), Some(false));
    let batch = owner.next_batch().expect("the cancellation");
    let row = &batch.rows[0];
    assert_eq!(
        (row.submission.is_none(), row.replaces),
        (true, Some(STORED))
    );
    let progress = decode_progress(row.progress.as_deref().expect("a progress row"));
    let progress = progress.expect("valid progress record");
    assert_eq!(progress.state, JobState::Cancelled);
    owner.scheduler.batch_stored(&batch, LATER, owner.now);
    assert_eq!(owner.is_stored(1, version), Some(true));
    assert_eq!(owner.starts(), vec![]);
}

/// A run of the stored submission keeps its place until its worker does not list it.
#[test]
fn a_stored_run_is_not_started_beside_the_copy() {
    let mut owner = Owner::new();
    owner.scheduler.submit(one_task(1), owner.now);
    let batch = owner.next_batch().expect("the copy");
    let placed = PlacedRun {
        worker: "w-1".parse().expect("valid worker name"),
        incarnation_unix_ms: 1,
        run: 4,
    };
    let found = stored(1, JobState::Active, Some(placed));
    owner.store_rest(batch, &id(1), Some(found));
    assert_eq!(owner.placed_tasks(), 1);
    assert_eq!(owner.starts(), vec![]);
    owner.answer();
    assert_eq!(owner.starts(), vec![id(1)]);
}
