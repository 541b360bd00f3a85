//! Hand-overs of a placed task that a simulation of `tests/cancellation.rs` found, each as its
//! shortest sequence of events.

mod model;

use std::time::Duration;

use model::{WORKER_CAPACITY, config, step, submission};
use rhubarbfall_core::{BootTime, RowVersion, WorkerId};
use rhubarbfall_runs::scheduler::{Action, SchedulerSettings, StartOrder, StoredJob};
use rhubarbfall_runs::{
    ActiveRun, JobProgress, JobState, LeaseRenewalResponse, OpenTask, PlacedRun, Resources, RunEnd,
    RunEndKind, Scheduler, StartOutcome, Step, Submission, WorkerReport,
};

struct Owner {
    scheduler: Scheduler,
    now: BootTime,
    rows: u64,
}

impl Owner {
    fn new() -> Self {
        let now = BootTime::new(Duration::from_secs(100));
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        scheduler.set_config(config(&["labels", "spare"]).into());
        scheduler.confirm_ownership(now + Duration::from_secs(9));
        Self {
            scheduler,
            now,
            rows: 0,
        }
    }

    fn list(&mut self, worker: &str) {
        let report = WorkerReport {
            id: id(worker),
            address: "127.0.0.1:1".parse().expect("valid address"),
            service: "labels".parse().expect("valid service name"),
            availability_zone: "zone-a".parse().expect("valid availability zone name"),
            capacity: WORKER_CAPACITY,
            labels: vec!["a".into(), "r1".into()],
            rack: Some("r1".parse().expect("valid rack name")),
            is_draining: false,
            incarnation_unix_ms: 1,
        };
        self.scheduler.worker_listed(report, self.now);
    }

    /// Passes a worker's response to a lease renewal to the scheduler.
    fn answer(
        &mut self,
        worker: &str,
        incarnation_unix_ms: u64,
        running: Vec<ActiveRun>,
        ended: Vec<RunEnd>,
    ) {
        let sent_at = self.now.before(Duration::from_millis(1));
        self.answer_call_sent_at(sent_at, worker, incarnation_unix_ms, running, ended);
    }

    /// Passes a worker's response to a lease renewal that was sent at `sent_at` to the scheduler.
    fn answer_call_sent_at(
        &mut self,
        sent_at: BootTime,
        worker: &str,
        incarnation_unix_ms: u64,
        running: Vec<ActiveRun>,
        ended: Vec<RunEnd>,
    ) {
        let answer = LeaseRenewalResponse {
            clock_ms: self.now.as_millis(),
            incarnation_unix_ms,
            running,
            ended,
        };
        self.scheduler
            .lease_renewal_answered(&id(worker), sent_at, &answer, self.now);
    }

    /// Places and stores, and returns the actions.
    fn actions(&mut self) -> Vec<Action> {
        self.now = self.now + Duration::from_millis(100);
        self.scheduler.tick(self.now, self.now.as_millis());
        while let Some(batch) = self.scheduler.next_batch() {
            self.rows += 1;
            let version = RowVersion::new(self.rows);
            self.scheduler.batch_stored(&batch, version, self.now);
        }
        self.scheduler.take_actions()
    }

    /// Places and stores, and returns the number of stops.
    fn stops(&mut self) -> usize {
        let actions = self.actions();
        let is_stop = |action: &&Action| matches!(action, Action::Stop(_));
        actions.iter().filter(is_stop).count()
    }

    /// Places and stores, and returns the starts.
    fn starts(&mut self) -> Vec<StartOrder> {
        let starts = self
            .actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Start(order) => Some(order),
                _ => None,
            });
        starts.collect()
    }

    fn accept(&mut self, order: &StartOrder) {
        let (task, worker) = (&order.task, &order.worker);
        let outcome = StartOutcome::Accepted;
        self.scheduler
            .start_answered(task, worker, order.run, outcome, self.now);
    }

    fn reserved(&self) -> Vec<(WorkerId, Resources)> {
        let workers = self.scheduler.workers();
        let busy = workers.filter(|worker| !worker.placed.is_empty());
        busy.map(|worker| (worker.report.id.clone(), worker.reserved))
            .collect()
    }
}

fn running(start: &StartOrder) -> ActiveRun {
    ActiveRun {
        task: start.task.clone(),
        run: start.run,
        checkpoint: None,
        percent: 0,
        tail_ms_or_cpu_millis: None,
    }
}

fn id(worker: &str) -> WorkerId {
    worker.parse().expect("valid worker name")
}

/// A gang of two tasks, each of which needs more than half a worker, and a step after it.
fn gang() -> Submission {
    let gang = Step {
        is_gang: true,
        ..step(2, 40_000)
    };
    let last = Step {
        after: vec![0],
        ..step(1, 64_000)
    };
    let mut submission = submission(1, "labels", gang);
    submission.steps.push(last);
    submission
}

/// Starts the gang on two workers.
fn owner_with_gang() -> (Owner, Vec<StartOrder>) {
    let mut owner = Owner::new();
    for worker in ["w-1", "w-2"] {
        owner.list(worker);
        owner.answer(worker, 1, Vec::new(), Vec::new());
    }
    owner.scheduler.submit(gang(), owner.now);
    let starts = owner.starts();
    assert_eq!(starts.len(), 2);
    for start in &starts {
        owner.accept(start);
    }
    (owner, starts)
}

/// Reports a run as done.
fn report_done(owner: &mut Owner, start: &StartOrder) {
    let end = RunEnd {
        number: 1,
        task: start.task.clone(),
        run: start.run,
        kind: RunEndKind::Done,
        checkpoint: None,
    };
    let worker = start.worker.to_string();
    owner.answer(&worker, 1, Vec::new(), vec![end]);
}

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
    assert_eq!(JobProgress::of(job).done, vec![(0, 0, 0), (0, 0, 1)]);
}

/// A worker that starts again under its name and carries out a start that was meant for its earlier
/// life: the task is placed again while that run goes on.
#[test]
fn a_run_that_a_restarted_worker_lists_is_not_started_again() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let starts = owner.starts();
    owner.accept(&starts[0]);
    owner.answer("w-1", 2, vec![running(&starts[0])], Vec::new());
    assert_eq!(owner.starts(), vec![]);
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
    let progress = JobProgress {
        state: JobState::Cancelled,
        has_begun: true,
        done: Vec::new(),
        open: vec![OpenTask {
            position: (0, 0, 0),
            failures: 0,
            last_run: 1,
            checkpoint: None,
            placed: Some(placed),
        }],
    };
    let stored = StoredJob {
        submission: submission(1, "labels", step(1, 4_000)),
        progress: Some((progress, RowVersion::new(1))),
    };
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

/// An answer of a worker's earlier life that arrives after the next life is listed and has
/// answered: it returns the tasks of the present life to the queue while their runs go on.
#[test]
fn an_answer_of_an_earlier_life_requeues_nothing() {
    let mut owner = Owner::new();
    owner.list("w-1");
    let sent_at = owner.now;
    owner.now = owner.now + Duration::from_millis(10);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let starts = owner.starts();
    owner.accept(&starts[0]);
    owner.answer_call_sent_at(sent_at, "w-1", 1, Vec::new(), Vec::new());
    owner.answer("w-1", 2, vec![running(&starts[0])], Vec::new());
    assert_eq!(owner.starts(), vec![]);
}

/// A worker starts again after its VM's clock was set back, so that its present life has a lower
/// number than the earlier one: its answers must count, or it gets no work and no stops.
#[test]
fn a_worker_that_starts_again_with_a_lower_incarnation_is_heard() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    owner.now = owner.now + Duration::from_secs(2);
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let starts = owner.starts();
    assert_eq!(starts.len(), 1);
    owner.accept(&starts[0]);
    owner.answer("w-1", 1, vec![running(&starts[0])], Vec::new());
    assert_eq!(owner.starts(), vec![]);
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
            let (task, worker) = (&start.task, &start.worker);
            owner
                .scheduler
                .stop_answered(task, worker, start.run, true, owner.now);
        }
    }
    assert!(stops >= 3, "{case}: {stops} stops in two seconds");
    // A stop that was never confirmed is confirmed late; the run is gone then.
    let (task, worker) = (&start.task, &start.worker);
    owner
        .scheduler
        .stop_answered(task, worker, start.run, true, owner.now);
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
