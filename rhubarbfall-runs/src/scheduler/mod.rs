//! The state of one owner and its transitions, with one file per responsibility.

mod absence;
mod action;
mod advice;
mod cell_shares;
mod clearing;
mod early_cancellations;
mod evacuation;
mod free_room;
mod held_work;
mod intake;
mod interruptions;
mod job_index;
mod late_jobs;
mod lease_renewal;
mod leaving;
mod listing;
mod long_running_places;
mod lookahead;
mod occurrence_window;
mod ordering;
mod orders;
mod pacing;
mod placement_pass;
mod placing;
mod pool_demand;
mod pool_plan;
mod pools;
mod recent_work;
mod recovery;
mod refused_rows;
mod reservations;
pub mod run_estimates;
mod service_view;
mod settings;
mod start_rate;
mod starting;
mod storing;
mod token_bucket;
mod vm_gaps;
mod vm_list;
mod vm_operations;
mod waiting_log;
mod wave_choice;
mod wave_pace;
mod waves;

use std::sync::Arc;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, CustomerId, RowVersion, SubmissionId, WaveId, WorkerId};

use crate::{FleetConfig, Job, Placement, Resources, RunState, TaskId, TaskPhase, Worker};

pub use action::{Action, PaceOrder, StartOrder, StopOrder};
pub use advice::AdviceResponse;
pub use clearing::ClearedJob;
pub use early_cancellations::encode_early_cancellation;
pub use held_work::Held;
pub use intake::SubmissionState;
pub use lease_renewal::LeaseRenewalRequest;
pub use leaving::ZoneRuns;
pub use pool_plan::{PoolLoad, PoolNeed, plan_moves};
pub use recovery::StoredJob;
pub use settings::SchedulerSettings;
pub use storing::{Batch, BatchRow, WaveRow};
pub use vm_operations::{VmOperation, VmRow, VmState};
pub use wave_pace::{PaceReason, VmCycle, WaveLoad, WavePace, wave_pace};
pub use waves::{CalledVm, Wave, WaveProgress, WaveState};

/// The scheduler of one owner: decides which task starts where, what is stored and which state is
/// reported to callers.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    config: Arc<FleetConfig>,
    jobs: job_index::JobIndex,
    early_cancellations: early_cancellations::EarlyCancellations,
    held_work: held_work::HeldWork,
    /// The submissions whose stored rows cannot be read.
    unreadable: Vec<SubmissionId>,
    workers: LiteMap<WorkerId, Worker>,
    customer_usage: LiteMap<CustomerId, Resources>,
    arrival_limits: LiteMap<CustomerId, token_bucket::TokenBucket>,
    recent_work: recent_work::RecentWork,
    actions: Vec<Action>,
    /// The jobs that have unstored changes, sorted.
    dirty: Vec<SubmissionId>,
    /// The last job of the previous batch.
    last_batched_job: Option<SubmissionId>,
    /// The latest end of a lease that the confirmed ownership allows.
    max_lease_end: BootTime,
    /// When runs placed by earlier owners have certainly ended on workers that do not answer;
    /// `None` once they have been requeued.
    inherited_lease_expiry: Option<BootTime>,
    /// Until when workers may hold leases that are longer than owners grant them.
    longest_leases_until: BootTime,
    /// Tasks that an earlier owner placed on workers that are not listed yet.
    inherited_on_unlisted: LiteMap<WorkerId, Vec<TaskId>>,
    /// Whether a change since the last placement may let a waiting task start.
    needs_placement: bool,
    /// When the first of the quarantines ends that the last placement has met.
    quarantine_end: Option<BootTime>,
    vm_ops: vm_operations::VmOperations,
    /// The progress of waves that an earlier owner has stored and that are not requested yet; `None`
    /// for a wave whose row cannot be read.
    recovered_waves: LiteMap<WaveId, Option<(WaveProgress, RowVersion)>>,
    advice: advice::Advice,
    /// The jobs whose last run has ended since they were last taken.
    cleared_jobs: Vec<ClearedJob>,
    /// The placed tasks whose start has not been answered yet, sorted.
    pending_starts: Vec<TaskId>,
    start_rate: start_rate::StartRate,
    lookahead: lookahead::Lookahead,
    shares: cell_shares::CellShares,
    evacuation: evacuation::Evacuation,
    pools_logged_at: BootTime,
    /// When the long-running tasks that do not run were last logged.
    absence_logged_at: BootTime,
    /// When withheld occurrences were last logged.
    withheld_logged_at: BootTime,
    /// When the submissions that wait with nothing running were last logged.
    waiting_logged_at: BootTime,
    /// When the time-dependent checks last ran.
    checked_at: BootTime,
    /// The earliest time at which long-running tasks may be interrupted: an earlier owner may just
    /// have interrupted others.
    interrupt_after: BootTime,
}

impl Scheduler {
    /// Creates a scheduler without jobs and workers.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            config: Arc::new(FleetConfig::default()),
            jobs: job_index::JobIndex::default(),
            early_cancellations: early_cancellations::EarlyCancellations::new(),
            held_work: held_work::HeldWork::default(),
            unreadable: Vec::new(),
            workers: LiteMap::new(),
            customer_usage: LiteMap::new(),
            arrival_limits: LiteMap::new(),
            recent_work: recent_work::RecentWork::default(),
            actions: Vec::new(),
            dirty: Vec::new(),
            last_batched_job: None,
            max_lease_end: BootTime::default(),
            inherited_lease_expiry: None,
            longest_leases_until: BootTime::default(),
            inherited_on_unlisted: LiteMap::new(),
            needs_placement: true,
            quarantine_end: None,
            vm_ops: vm_operations::VmOperations::default(),
            recovered_waves: LiteMap::new(),
            advice: advice::Advice::default(),
            cleared_jobs: Vec::new(),
            pending_starts: Vec::new(),
            start_rate: start_rate::StartRate::default(),
            lookahead: lookahead::Lookahead::default(),
            shares: cell_shares::CellShares::default(),
            evacuation: evacuation::Evacuation::default(),
            pools_logged_at: BootTime::default(),
            absence_logged_at: BootTime::default(),
            withheld_logged_at: BootTime::default(),
            waiting_logged_at: BootTime::default(),
            checked_at: BootTime::default(),
            interrupt_after: BootTime::default(),
        }
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, config: Arc<FleetConfig>) {
        self.record_lowered_limits(&config);
        self.config = config;
        self.needs_placement = true;
    }

    /// Records that ownership is confirmed and that leases may end at `max_lease_end` at the
    /// latest.
    pub fn confirm_ownership(&mut self, max_lease_end: BootTime) {
        self.max_lease_end = self.max_lease_end.max(max_lease_end);
    }

    /// Returns the jobs, sorted by identifier.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter()
    }

    /// Returns the known workers, sorted by identifier.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().map(|(_, worker)| worker)
    }

    /// Returns a worker, or `None` if it is not known.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns and clears the actions to carry out, without the starts of runs that are to be
    /// stopped or are over.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.retain(|action| match action {
            Action::Start(order) => self.is_to_be_sent(order),
            _ => true,
        });
        actions
    }

    /// Runs the time-dependent checks if they are due, and places waiting tasks.
    pub fn tick(&mut self, now: BootTime, unix_ms: u64) {
        if now.since(self.checked_at) >= self.settings.check_interval {
            self.checked_at = now;
            self.check_operator_view(now);
            self.open_taken_back(now);
            self.drop_expired_workers(now);
            self.requeue_unreachable_inherited(now);
            self.stop_stalled(now);
            self.remove_ended_jobs(now);
            self.expire_early_cancellations(now);
            self.stop_long_running_on_draining();
            self.begin_due(unix_ms, now);
            self.tick_vm_operations(now);
            self.leave_evacuated_zones(now);
            self.send_due_stops(now);
            self.count_start_backlog(now);
            // A held place may be due to move, or no longer be needed.
            self.needs_placement |= self.has_reservations();
        }
        self.place_waiting(now);
        self.log_absent(now);
        self.log_waiting(now);
    }

    /// Runs the checks that need no valid ownership lease if they are due: whoever owns the
    /// submissions, a run of a cancelled job is unwanted.
    pub fn tick_without_lease(&mut self, now: BootTime) {
        if now.since(self.checked_at) >= self.settings.check_interval {
            self.checked_at = now;
            self.stop_cancelled(now);
        }
    }

    /// Increments the version of a job and queues it for the next batch.
    fn mark_dirty(&mut self, id: &SubmissionId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.version += 1;
        }
        self.queue_for_batch(id);
    }

    /// Adds a job to those with unstored changes.
    fn queue_for_batch(&mut self, id: &SubmissionId) {
        if let Err(index) = self.dirty.binary_search(id) {
            self.dirty.insert(index, id.clone());
        }
    }

    /// Adds a task to those whose start is not answered yet, or removes it.
    fn set_start_pending(&mut self, id: &TaskId, is_pending: bool) {
        match (self.pending_starts.binary_search(id), is_pending) {
            (Ok(index), false) => drop(self.pending_starts.remove(index)),
            (Err(index), true) => self.pending_starts.insert(index, id.clone()),
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    /// Releases the resources that a placed task reserves, without changing the task.
    fn release(&mut self, id: &TaskId, now: BootTime) {
        self.set_start_pending(id, false);
        let Some(job) = self.jobs.get(&id.submission) else {
            return;
        };
        let Some(placement) = job.task(id).and_then(|task| task.placement()) else {
            return;
        };
        let step = job.step(id);
        if let Some(worker) = self.workers.get_mut(&placement.worker) {
            worker.remove(id, step);
            worker.idle_since = now;
        }
        if let Some(customer) = &job.submission.customer
            && let Some(usage) = self.customer_usage.get_mut(customer)
        {
            *usage -= step.demand;
        }
        self.needs_placement = true;
    }

    /// Reserves a worker's capacity and the customer's limit for a task.
    fn reserve(&mut self, id: &TaskId, worker: &WorkerId) {
        let Some(job) = self.jobs.get(&id.submission) else {
            return;
        };
        let step = job.step(id);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.add(id.clone(), step);
        }
        if let Some(customer) = &job.submission.customer {
            *self.customer_usage.entry(customer.clone()).or_default() += step.demand;
        }
    }

    /// Removes a task from its worker after its run has certainly ended without a result, and
    /// returns it to the waiting phase.
    fn requeue(&mut self, id: &TaskId, now: BootTime, reason: &str) {
        let delay = self.settings.retry_delay;
        self.release(id, now);
        let Some(job) = self.jobs.get_mut(&id.submission) else {
            return;
        };
        let Some(task) = job.task_mut(id) else { return };
        if let Some(placed) = task.placement() {
            log::info!(
                "event=run_lost id={id} run={} worker={} reason={reason}",
                placed.run,
                placed.worker
            );
        }
        task.requeue(now, delay);
        self.mark_dirty(&id.submission);
        self.record_cleared(&id.submission, now);
    }

    fn set_run_state(&mut self, id: &TaskId, state: RunState) {
        if self.pending_starts.len() >= self.settings.max_pending_starts
            && state != RunState::Sending
        {
            // There may be room for another start.
            self.needs_placement = true;
        }
        let is_pending = matches!(state, RunState::Storing(_) | RunState::Sending);
        self.set_start_pending(id, is_pending);
        if let Some(job) = self.jobs.get_mut(&id.submission)
            && let Some(task) = job.task_mut(id)
            && let TaskPhase::Placed(placement) = &mut task.phase
        {
            placement.state = state;
        }
    }

    /// Returns whether a task runs until its submission is cancelled.
    fn is_long_running(&self, id: &TaskId) -> bool {
        let job = self.jobs.get(&id.submission);
        job.is_some_and(|job| job.step(id).is_long_running)
    }

    fn placement(&self, id: &TaskId) -> Option<&Placement> {
        self.jobs.get(&id.submission)?.task(id)?.placement()
    }
}
