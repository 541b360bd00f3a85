//! A simulation in virtual time of an owner's environment: workers that run tasks under leases and
//! fencing numbers, VMs that move, and a store. It checks what runs on the workers.
#![allow(dead_code, reason = "each test file uses a part of the model")]

mod inputs;
pub(crate) mod schedules;
mod worker;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbfall_core::{BootTime, CellId, RowVersion, SubmissionId, VmId, WorkerId};
use rhubarbfall_runs::scheduler::{
    Action, AdviceResponse, Batch, SchedulerSettings, StartOrder, StoredJob, VmOperation, VmRow,
    VmState,
};
use rhubarbfall_runs::{
    FleetConfig, JobState, LeaseRenewalResponse, Resources, RunEndKind, Scheduler, StartOutcome,
    StepId, Submission, TaskId, WorkerReport, decode_progress, decode_submission,
};

pub(crate) use inputs::{WORKER_CAPACITY, config, step, submission};
pub(crate) use worker::{ModelRun, ModelWorker};
use worker::{end, report_run, start};

/// The virtual time of one simulation step.
pub(crate) const STEP: Duration = Duration::from_millis(20);

/// How often a worker's leases are renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// The number of run ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;

/// The distance between the numbers of the first VMs of two cells.
const MAX_VMS_PER_CELL: usize = 1_000;

/// How long a VM is away for a move or for maintenance.
const VM_ABSENCE: Duration = Duration::from_millis(1_500);

/// How long a call for advice takes.
const ADVICE_CALL_TIME: Duration = Duration::from_millis(120);

#[derive(Debug, Clone)]
struct ModelVm {
    pool: String,
    capacity: Resources,
    /// The pool that the VM joins, and when.
    target: Option<(String, BootTime)>,
    incarnation: u32,
}

/// The stored rows.
#[derive(Debug, Clone, Default)]
pub(crate) struct ModelStore {
    pub(crate) version: u64,
    pub(crate) submissions: BTreeMap<SubmissionId, Vec<u8>>,
    pub(crate) progress: BTreeMap<SubmissionId, (Vec<u8>, u64)>,
    pub(crate) early_cancellations: BTreeSet<SubmissionId>,
}

pub(crate) struct Model {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: BootTime,
    pub(crate) workers: Vec<ModelWorker>,
    pub(crate) store: ModelStore,
    pub(crate) fence: u64,
    pub(crate) starts: u64,
    pub(crate) moves: u64,
    /// The VMs that were maintained, each as often as it was.
    maintained: Vec<VmId>,
    /// The number of starts that the owner's processor allows per step, or `None` for no limit.
    pub(crate) starts_per_step: Option<usize>,
    sending: VecDeque<StartOrder>,
    /// Whether batches are currently not stored.
    pub(crate) is_store_blocked: bool,
    /// How long a worker takes to answer a lease renewal.
    pub(crate) renewal_duration: Duration,
    /// The number of workers named in each call for advice.
    pub(crate) advice_asked: Vec<usize>,
    /// Which workers may run the tasks of queues with advice, or `None` for all.
    pub(crate) may_run_step: Option<fn(&WorkerId) -> bool>,
    pending_advice: Vec<(BootTime, StepId, Vec<WorkerId>, AdviceResponse)>,
    /// The ticket of each start.
    pub(crate) tickets: Vec<Option<std::sync::Arc<str>>>,
    /// The pace commands sent so far.
    pub(crate) paces: Vec<(TaskId, u8)>,
    /// How long a long-running task takes to become available.
    pub(crate) warm_up: Duration,
    /// The tail latency that workers report for tasks with a target, in milliseconds.
    pub(crate) tail_ms: u64,
    /// The tasks whose runs were done, each as often as it was.
    pub(crate) done: Vec<TaskId>,
    /// When the clock of the entries was zero, or `None` if it stands still there.
    pub(crate) unix_began_at: Option<BootTime>,
    /// The invariants that were violated.
    pub(crate) violations: Vec<String>,
    vms: Vec<ModelVm>,
    /// The number of the first VM.
    first_vm: usize,
    durations: BTreeMap<SubmissionId, Duration>,
    pub(crate) rng: ChaCha8Rng,
    config: FleetConfig,
    settings: SchedulerSettings,
}

impl Model {
    pub(crate) fn new(pools: &[(&str, usize)], seed: u64) -> Self {
        Self::of_cell(pools, seed, CellId::FIRST, 1)
    }

    /// Creates the part of a fleet that belongs to one of several cells.
    pub(crate) fn of_cell(pools: &[(&str, usize)], seed: u64, cell: CellId, cells: u16) -> Self {
        let settings = SchedulerSettings {
            cell,
            cells,
            ..SchedulerSettings::default()
        };
        Self::with_settings(pools, seed, settings)
    }

    /// Creates a fleet whose owners have these settings.
    pub(crate) fn with_settings(
        pools: &[(&str, usize)],
        seed: u64,
        settings: SchedulerSettings,
    ) -> Self {
        let cell = settings.cell;
        let names: Vec<&str> = pools.iter().map(|(name, _)| *name).collect();
        let config = config(&names);
        let mut model = Self {
            scheduler: Scheduler::new(settings.clone()),
            settings,
            now: BootTime::new(Duration::from_secs(100)),
            workers: Vec::new(),
            store: ModelStore::default(),
            fence: 1,
            starts: 0,
            moves: 0,
            maintained: Vec::new(),
            starts_per_step: None,
            sending: VecDeque::new(),
            is_store_blocked: false,
            renewal_duration: Duration::ZERO,
            advice_asked: Vec::new(),
            may_run_step: None,
            pending_advice: Vec::new(),
            tickets: Vec::new(),
            paces: Vec::new(),
            warm_up: Duration::ZERO,
            tail_ms: 0,
            done: Vec::new(),
            unix_began_at: None,
            violations: Vec::new(),
            vms: Vec::new(),
            first_vm: usize::from(cell.number()) * MAX_VMS_PER_CELL,
            durations: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            config: config.clone(),
        };
        model.scheduler.set_config(config.into());
        for (index, (name, count)) in pools.iter().enumerate() {
            for _ in 0..*count {
                model.vms.push(ModelVm {
                    pool: (*name).to_owned(),
                    capacity: WORKER_CAPACITY,
                    target: None,
                    incarnation: 0,
                });
                if index + 1 < pools.len() {
                    model.add_worker(model.vms.len() - 1);
                }
            }
        }
        model
    }

    fn add_worker(&mut self, vm: usize) {
        let incarnation = self.vms[vm].incarnation;
        let report = WorkerReport {
            id: format!("w-{vm}-{incarnation}")
                .parse()
                .expect("valid worker name"),
            address: "127.0.0.1:1".parse().expect("valid address"),
            service: self.vms[vm].pool.parse().expect("valid service name"),
            vm: None,
            availability_zone: "zone-a".parse().expect("valid availability zone name"),
            capacity: self.vms[vm].capacity,
            labels: vec!["a".into(), "r1".into()],
            rack: Some("r1".parse().expect("valid rack name")),
            is_draining: false,
            incarnation_unix_ms: u64::from(incarnation) + 1,
        };
        self.scheduler.worker_listed(report.clone(), self.now);
        self.workers.push(ModelWorker {
            report,
            vm,
            runs: Vec::new(),
            ends: Vec::new(),
            next_end: 1,
            fence: 0,
            lease_expiry: self.now,
            renewed_at: BootTime::default(),
            is_cut_off: false,
            fails_all: false,
            refuses_starts: false,
            start_delay: None,
            delayed_starts: Vec::new(),
        });
    }

    /// Changes the capacity of a VM and of its worker.
    pub(crate) fn set_capacity(&mut self, vm: usize, capacity: Resources) {
        self.vms[vm].capacity = capacity;
        for worker in self.workers.iter_mut().filter(|worker| worker.vm == vm) {
            worker.report.capacity = capacity;
            self.scheduler
                .worker_listed(worker.report.clone(), self.now);
        }
    }

    /// Submits a submission whose tasks run for `duration`.
    pub(crate) fn submit(&mut self, submission: Submission, duration: Duration) {
        self.durations.insert(submission.id.clone(), duration);
        self.scheduler.submit(submission, self.now);
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        self.scheduler
            .confirm_ownership(self.now + Duration::from_secs(9));
        self.advance_vms();
        self.answer_advice();
        self.advance_runs();
        self.renew_leases();
        let unix_ms = self.unix_began_at.map(|at| self.now.since(at).as_millis());
        self.scheduler
            .tick(self.now, unix_ms.unwrap_or_default() as u64);
        self.execute_actions();
        self.store_all();
        self.execute_actions();
        self.send_starts();
        self.check_invariants();
    }

    /// Changes the configuration and passes it to the scheduler.
    pub(crate) fn update_config(&mut self, change: impl FnOnce(&mut FleetConfig)) {
        change(&mut self.config);
        self.scheduler.set_config(self.config.clone().into());
    }

    /// Sends the pending starts, as many as the owner's processor allows.
    fn send_starts(&mut self) {
        let count = self.starts_per_step.unwrap_or(usize::MAX);
        for _ in 0..count.min(self.sending.len()) {
            if let Some(order) = self.sending.pop_front() {
                self.start(&order);
            }
        }
    }

    fn answer_advice(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .pending_advice
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (at, step, workers, answer) in due {
            let sent_at = at.before(ADVICE_CALL_TIME);
            self.scheduler
                .advice_answered(&step, &workers, Some(answer), sent_at, now);
        }
    }

    fn advance_vms(&mut self) {
        for vm in 0..self.vms.len() {
            if let Some((pool, at)) = self.vms[vm].target.clone()
                && at <= self.now
            {
                self.vms[vm].target = None;
                self.vms[vm].incarnation += 1;
                let is_spare = self
                    .config
                    .services
                    .last()
                    .is_some_and(|spare| spare.id.as_str() == pool);
                self.vms[vm].pool = pool;
                if !is_spare {
                    self.add_worker(vm);
                }
            }
        }
        let rows = self.vms.iter().enumerate().map(|(index, vm)| {
            let worker = self.workers.iter().find(|worker| worker.vm == index);
            VmRow {
                vm: format!("vm-{}", self.first_vm + index)
                    .parse()
                    .expect("valid VM name"),
                pool: vm.pool.parse().expect("valid service name"),
                state: if vm.target.is_some() {
                    VmState::Moving
                } else {
                    VmState::Up
                },
                worker: worker.map(|worker| worker.report.id.clone()),
                availability_zone: None,
                capacity: vm.capacity,
                labels: vec!["a".into(), "r1".into()],
            }
        });
        let rows = rows.collect();
        self.scheduler.vms_listed(rows, self.now, self.now);
    }

    fn advance_runs(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            let due: Vec<_> = worker
                .delayed_starts
                .extract_if(.., |(at, ..)| *at <= now)
                .collect();
            for (_, order, fence) in due {
                if fence >= worker.fence {
                    let duration = self.durations[&order.task.submission];
                    start(worker, &order, duration, &self.scheduler, now);
                }
            }
            let is_expired = worker.lease_expiry < now;
            let mut index = 0;
            while index < worker.runs.len() {
                let run = &mut worker.runs[index];
                run.remaining = run.remaining.saturating_sub(STEP);
                let kind = if is_expired {
                    RunEndKind::Lapsed
                } else if worker.fails_all {
                    RunEndKind::Failed
                } else if run.remaining.is_zero() {
                    RunEndKind::Done
                } else {
                    index += 1;
                    continue;
                };
                let run = worker.runs.swap_remove(index);
                if kind == RunEndKind::Done {
                    self.done.push(run.task.clone());
                }
                end(worker, run.task, run.run, kind);
            }
        }
    }

    /// Returns how many runs were done of tasks that had been done before.
    pub(crate) fn done_twice(&self) -> usize {
        let different: BTreeSet<&TaskId> = self.done.iter().collect();
        self.done.len() - different.len()
    }

    fn renew_leases(&mut self) {
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let is_due = self.now.since(worker.renewed_at) >= RENEWAL_INTERVAL;
            if worker.is_cut_off || !is_due {
                // A renewal that fails is still prepared.
                if is_due {
                    worker.renewed_at = self.now;
                    self.scheduler
                        .lease_renewal_request(&worker.report.id, self.now);
                }
                continue;
            }
            worker.renewed_at = self.now;
            let id = worker.report.id.clone();
            let Some(order) = self.scheduler.lease_renewal_request(&id, self.now) else {
                continue;
            };
            worker.fence = worker.fence.max(self.fence);
            if let Some(deadline_ms) = order.lease_deadline_ms {
                let until = BootTime::new(Duration::from_millis(deadline_ms));
                worker.lease_expiry = worker.lease_expiry.max(until);
            }
            worker.ends.retain(|end| end.number > order.acknowledged);
            let answer = LeaseRenewalResponse {
                clock_ms: self.now.as_millis(),
                incarnation_unix_ms: worker.report.incarnation_unix_ms,
                running: worker
                    .runs
                    .iter()
                    .map(|run| report_run(run, self.tail_ms, self.warm_up))
                    .collect(),
                ended: worker.ends.iter().take(MAX_LISTED_ENDS).cloned().collect(),
                may_have_more_ends: worker.ends.len() >= MAX_LISTED_ENDS,
            };
            self.scheduler.lease_renewal_answered(
                &id,
                self.now.before(self.renewal_duration),
                &answer,
                self.now,
            );
        }
    }

    fn execute_actions(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::Start(order) => self.sending.push_back(order),
                Action::Pace(order) => self.paces.push((order.task, order.percent)),
                Action::Stop(order) => {
                    let worker = self
                        .workers
                        .iter_mut()
                        .find(|worker| worker.report.id == order.worker);
                    let Some(worker) = worker.filter(|worker| !worker.is_cut_off) else {
                        continue;
                    };
                    worker
                        .delayed_starts
                        .retain(|(_, start, _)| start.task != order.task || start.run > order.run);
                    let is_stopped_run =
                        |run: &ModelRun| run.task == order.task && run.run == order.run;
                    if let Some(index) = worker.runs.iter().position(is_stopped_run) {
                        worker.runs.swap_remove(index);
                        end(worker, order.task.clone(), order.run, RunEndKind::Stopped);
                    }
                    self.scheduler.stop_answered(&order, true, self.now);
                }
                Action::Advise { step, workers } => {
                    self.advice_asked.push(workers.len());
                    let ticket_validity = Duration::from_secs(3);
                    let is_permitted = |id: &&WorkerId| self.may_run_step.is_none_or(|of| of(id));
                    let permitted: Vec<_> = workers
                        .iter()
                        .filter(is_permitted)
                        .map(|id| (id.clone(), format!("{step}-{id}").into()))
                        .collect();
                    let answer = AdviceResponse {
                        permitted,
                        ticket_validity,
                    };
                    let at = self.now + ADVICE_CALL_TIME;
                    self.pending_advice.push((at, step, workers, answer));
                }
                Action::Vm { vm, operation } => {
                    let pool = match operation {
                        VmOperation::Move(to) => {
                            self.moves += 1;
                            to.to_string()
                        }
                        VmOperation::Maintain(_) => {
                            self.maintained.push(vm.clone());
                            self.vms[self.vm_index(vm.as_str())].pool.clone()
                        }
                    };
                    self.remove_vm(vm.as_str(), &pool);
                    self.scheduler.vm_answered(&vm, Some(true), self.now);
                }
            }
        }
    }

    fn vm_index(&self, vm: &str) -> usize {
        let number = vm.trim_start_matches("vm-").parse::<usize>();
        number.expect("VM name with a number") - self.first_vm
    }

    /// Returns the names of the VMs.
    pub(crate) fn vm_names(&self) -> Vec<VmId> {
        let name = |index| format!("vm-{}", self.first_vm + index).parse();
        let names = (0..self.vms.len()).map(|index| name(index).expect("valid VM name"));
        names.collect()
    }

    /// Counts the VMs that were maintained.
    pub(crate) fn maintained_vms(&self) -> usize {
        let different: BTreeSet<&VmId> = self.maintained.iter().collect();
        different.len()
    }

    /// Counts the VMs that are down for maintenance.
    pub(crate) fn vms_in_maintenance(&self) -> usize {
        let is_down = |vm: &&ModelVm| vm.target.as_ref().is_some_and(|(pool, _)| *pool == vm.pool);
        self.vms.iter().filter(is_down).count()
    }

    fn remove_vm(&mut self, vm: &str, pool: &str) {
        let index = self.vm_index(vm);
        if self
            .workers
            .iter()
            .any(|worker| worker.vm == index && !worker.runs.is_empty())
        {
            self.violations
                .push(format!("{vm} was taken down with runs on it"));
        }
        self.workers.retain(|worker| worker.vm != index);
        self.vms[index].target = Some((pool.to_owned(), self.now + VM_ABSENCE));
    }

    fn start(&mut self, order: &StartOrder) {
        self.starts += 1;
        self.tickets.push(order.ticket.clone());
        let now = self.now;
        let duration = self.durations[&order.task.submission];
        let fence = self.fence;
        let worker = self
            .workers
            .iter_mut()
            .find(|worker| worker.report.id == order.worker);
        let outcome = match worker {
            None => StartOutcome::NotSent,
            Some(worker) if worker.is_cut_off => StartOutcome::Unknown,
            Some(worker) if fence < worker.fence => StartOutcome::Fenced,
            Some(worker) if worker.refuses_starts => StartOutcome::Refused,
            Some(worker) => {
                if let Some(delay) = worker.start_delay {
                    worker
                        .delayed_starts
                        .push((now + delay, order.clone(), fence));
                    StartOutcome::Unknown
                } else if order.lease_deadline_ms < now.as_millis() {
                    StartOutcome::LeaseTooOld
                } else {
                    start(worker, order, duration, &self.scheduler, now);
                    StartOutcome::Accepted
                }
            }
        };
        let (task, worker) = (&order.task, &order.worker);
        self.scheduler
            .start_answered(task, worker, order.run, outcome, now);
    }

    fn store_all(&mut self) {
        if self.is_store_blocked {
            return;
        }
        while let Some(batch) = self.scheduler.next_batch() {
            self.store(&batch);
        }
    }

    pub(crate) fn store(&mut self, batch: &Batch) {
        self.store.version += 1;
        let version = self.store.version;
        for row in &batch.rows {
            if let Some(submission) = &row.submission {
                self.store
                    .submissions
                    .insert(row.id.clone(), submission.clone());
            }
            if let Some(progress) = &row.progress {
                self.store
                    .progress
                    .insert(row.id.clone(), (progress.clone(), version));
            }
        }
        for id in &batch.expired_cancellations {
            self.store.early_cancellations.remove(id);
        }
        let kept = batch.early_cancellations.iter().cloned();
        self.store.early_cancellations.extend(kept);
        self.scheduler
            .batch_stored(batch, RowVersion::new(version), self.now);
    }

    /// Replaces the owner by one that knows only what is stored.
    pub(crate) fn fail_over(&mut self) {
        self.fence += 1;
        self.scheduler = Scheduler::new(self.settings.clone());
        self.scheduler.set_config(self.config.clone().into());
        let stored = self.store.submissions.iter().map(|(id, bytes)| StoredJob {
            submission: decode_submission(bytes).expect("valid submission record"),
            progress: self.store.progress.get(id).map(|(bytes, version)| {
                (
                    decode_progress(bytes).expect("valid progress record"),
                    RowVersion::new(*version),
                )
            }),
        });
        let stored: Vec<StoredJob> = stored.collect();
        let inherited_lease_expiry = self.now + Duration::from_secs(10);
        self.scheduler
            .recover(stored, inherited_lease_expiry, self.now, 0);
        let kept = self.store.early_cancellations.iter().cloned();
        self.scheduler.apply_stored_cancellations(kept, self.now);
        for worker in &self.workers {
            self.scheduler
                .worker_listed(worker.report.clone(), self.now);
        }
    }

    /// Checks that no task has two runs at the same time and that no worker exceeds its capacity.
    fn check_invariants(&mut self) {
        let mut running: Vec<&TaskId> = self
            .workers
            .iter()
            .flat_map(|worker| &worker.runs)
            .map(|run| &run.task)
            .collect();
        running.sort();
        for pair in running.windows(2) {
            if pair[0] == pair[1] {
                self.violations
                    .push(format!("{} has two runs at {}", pair[0], self.now));
            }
        }
        for worker in &self.workers {
            let used = worker
                .runs
                .iter()
                .fold(Resources::default(), |sum, run| sum + run.demand);
            if !used.fits_in(worker.report.capacity) {
                self.violations.push(format!(
                    "{} exceeds its capacity at {}",
                    worker.report.id, self.now
                ));
            }
        }
    }

    /// Returns the number of jobs in a state.
    pub(crate) fn count(&self, state: JobState) -> usize {
        self.scheduler
            .jobs()
            .filter(|job| job.state == state)
            .count()
    }

    /// Returns the number of jobs that completed within their limit.
    pub(crate) fn completed_within(&self, limit: impl Fn(&Submission) -> Duration) -> usize {
        self.scheduler
            .jobs()
            .filter(|job| job.state == JobState::Completed)
            .filter(|job| {
                let took = job.ended_at.map(|ended_at| ended_at.since(job.accepted_at));
                took.is_some_and(|took| took <= limit(&job.submission))
            })
            .count()
    }

    /// Cuts off the worker with this identifier.
    pub(crate) fn cut_off(&mut self, id: &WorkerId) {
        let worker = self
            .workers
            .iter_mut()
            .find(|worker| worker.report.id == *id);
        worker.expect("worker in the model").is_cut_off = true;
    }

    /// Fails a run of a submission, and returns its worker.
    pub(crate) fn fail_run_of(&mut self, submission: u64) -> Option<WorkerId> {
        let id = format!("{submission:016x}");
        for worker in &mut self.workers {
            let mut runs = worker.runs.iter();
            if let Some(index) = runs.position(|run| run.task.submission.as_str() == id) {
                let run = worker.runs.swap_remove(index);
                end(worker, run.task, run.run, RunEndKind::Failed);
                return Some(worker.report.id.clone());
            }
        }
        None
    }

    /// Returns the worker and number of each run of a submission.
    pub(crate) fn runs_of(&self, submission: u64) -> Vec<(WorkerId, u64)> {
        let id = format!("{submission:016x}");
        let runs = self.workers.iter().flat_map(|worker| {
            worker
                .runs
                .iter()
                .map(move |run| (worker.report.id.clone(), run))
        });
        runs.filter(|(_, run)| run.task.submission.as_str() == id)
            .map(|(worker, run)| (worker, run.run))
            .collect()
    }

    /// Returns a random duration, uniform within the relative `spread` around `mean`.
    pub(crate) fn sample_duration(&mut self, mean: Duration, spread: f64) -> Duration {
        let factor: f64 = self.rng.random_range(1.0 - spread..1.0 + spread);
        mean.mul_f64(factor)
    }

    pub(crate) fn sample_below(&mut self, end: u32) -> u32 {
        self.rng.next_u32() % end.max(1)
    }
}
