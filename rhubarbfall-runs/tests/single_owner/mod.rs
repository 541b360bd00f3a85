//! An owner in virtual time whose workers answer as a test tells them to.

use std::time::Duration;

use rhubarbfall_core::{AvailabilityZoneId, BootTime, RowVersion, WorkerId};
use rhubarbfall_runs::scheduler::{Action, SchedulerSettings, StartOrder, StopOrder, StoredJob};
use rhubarbfall_runs::{
    ActiveRun, DoneTasks, JobProgress, JobState, LeaseRenewalResponse, OpenTask, PlacedRun,
    Resources, RunEnd, RunEndKind, Scheduler, StartOutcome, Step, Submission, WorkerReport,
};

use crate::model::{WORKER_CAPACITY, config, step, submission};

pub(crate) struct Owner {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: BootTime,
    pub(crate) rows: u64,
}

impl Owner {
    pub(crate) fn new() -> Self {
        Self::with_settings(SchedulerSettings::default())
    }

    pub(crate) fn with_settings(settings: SchedulerSettings) -> Self {
        let now = BootTime::new(Duration::from_secs(100));
        let mut scheduler = Scheduler::new(settings);
        scheduler.set_config(config(&["labels", "spare"]).into());
        scheduler.confirm_ownership(now + Duration::from_secs(9));
        Self {
            scheduler,
            now,
            rows: 0,
        }
    }

    pub(crate) fn list(&mut self, worker: &str) {
        self.list_incarnation(worker, 1);
    }

    pub(crate) fn list_incarnation(&mut self, worker: &str, incarnation_unix_ms: u64) {
        self.list_in_pool(worker, incarnation_unix_ms, "labels");
    }

    /// Lists an incarnation of a worker in the pool of a service.
    pub(crate) fn list_in_pool(&mut self, worker: &str, incarnation_unix_ms: u64, service: &str) {
        let report = WorkerReport {
            service: service.parse().expect("valid service name"),
            ..report(worker, incarnation_unix_ms)
        };
        self.scheduler.worker_listed(report, self.now);
    }

    /// Lists a worker in an availability zone, which answers its first lease renewal.
    pub(crate) fn list_in_zone(&mut self, worker: &str, zone: &str) {
        let report = WorkerReport {
            availability_zone: zone.parse().expect("valid availability zone name"),
            ..report(worker, 1)
        };
        self.scheduler.worker_listed(report, self.now);
        self.answer(worker, 1, Vec::new(), Vec::new());
    }

    /// Passes the zones that operators have evacuated to the scheduler.
    pub(crate) fn evacuate(&mut self, zones: impl IntoIterator<Item = AvailabilityZoneId>) {
        self.scheduler.set_evacuated_zones(zones, self.now);
    }

    /// Passes a worker's response to a lease renewal to the scheduler.
    pub(crate) fn answer(
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
    pub(crate) fn answer_call_sent_at(
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
            may_have_more_ends: false,
        };
        self.scheduler
            .lease_renewal_answered(&id(worker), sent_at, &answer, self.now);
    }

    /// Places and stores, and returns the actions.
    pub(crate) fn actions(&mut self) -> Vec<Action> {
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
    pub(crate) fn stops(&mut self) -> usize {
        let actions = self.actions();
        let is_stop = |action: &&Action| matches!(action, Action::Stop(_));
        actions.iter().filter(is_stop).count()
    }

    /// Places and stores, and returns the starts.
    pub(crate) fn starts(&mut self) -> Vec<StartOrder> {
        let starts = self
            .actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Start(order) => Some(order),
                _ => None,
            });
        starts.collect()
    }

    pub(crate) fn accept(&mut self, order: &StartOrder) {
        let (task, worker) = (&order.task, &order.worker);
        let outcome = StartOutcome::Accepted;
        self.scheduler
            .start_answered(task, worker, order.run, outcome, self.now);
    }

    pub(crate) fn confirm_ownership(&mut self) {
        self.scheduler
            .confirm_ownership(self.now + Duration::from_secs(9));
    }

    /// Confirms a stop that was ordered for this incarnation of the worker.
    pub(crate) fn confirm_stop(&mut self, start: &StartOrder, incarnation_unix_ms: u64) {
        let order = StopOrder {
            worker: start.worker.clone(),
            incarnation_unix_ms,
            address: start.address,
            task: start.task.clone(),
            run: start.run,
        };
        self.scheduler.stop_answered(&order, true, self.now);
    }

    pub(crate) fn reserved(&self) -> Vec<(WorkerId, Resources)> {
        let workers = self.scheduler.workers();
        let busy = workers.filter(|worker| !worker.placed.is_empty());
        busy.map(|worker| (worker.report.id.clone(), worker.reserved))
            .collect()
    }
}

pub(crate) fn report(worker: &str, incarnation_unix_ms: u64) -> WorkerReport {
    WorkerReport {
        id: id(worker),
        address: "127.0.0.1:1".parse().expect("valid address"),
        service: "labels".parse().expect("valid service name"),
        vm: None,
        availability_zone: "zone-a".parse().expect("valid availability zone name"),
        capacity: WORKER_CAPACITY,
        labels: vec!["a".into(), "r1".into()],
        rack: Some("r1".parse().expect("valid rack name")),
        is_draining: false,
        incarnation_unix_ms,
    }
}

pub(crate) fn running(start: &StartOrder) -> ActiveRun {
    ActiveRun {
        task: start.task.clone(),
        run: start.run,
        checkpoint: None,
        percent: 0,
        tail_ms_or_cpu_millis: None,
    }
}

pub(crate) fn id(worker: &str) -> WorkerId {
    worker.parse().expect("valid worker name")
}

/// A submission of one task as an earlier owner has stored it.
pub(crate) fn stored_job(state: JobState, placed: PlacedRun) -> StoredJob {
    let progress = JobProgress {
        state,
        has_begun: true,
        has_started: false,
        done_occurrences: 0,
        done: DoneTasks::default(),
        open: vec![OpenTask {
            position: (0, 0, 0),
            failures: 0,
            last_run: 1,
            checkpoint: None,
            placed: Some(placed),
        }],
    };
    StoredJob {
        submission: submission(1, "labels", step(1, 4_000)),
        progress: Some((progress, RowVersion::new(1))),
    }
}

/// A gang of two tasks, each of which needs more than half a worker, and a step after it.
pub(crate) fn gang() -> Submission {
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
pub(crate) fn owner_with_gang() -> (Owner, Vec<StartOrder>) {
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
pub(crate) fn report_done(owner: &mut Owner, start: &StartOrder) {
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
