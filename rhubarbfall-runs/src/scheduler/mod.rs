//! The state of one owner and its transitions, a duty a file.

mod action;
mod advice;
mod holds;
mod intake;
mod interruptions;
mod listing;
mod ordering;
mod orders;
mod pacing;
mod placing;
mod pools;
mod recent_work;
mod recovery;
mod settings;
mod storing;
mod token_bucket;
mod upkeep;
mod wave_choice;
mod waves;

use std::sync::Arc;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, CustomerId, SubmissionId, WorkerId};

use crate::{FleetConfig, Job, Order, Phase, Placement, Resources, TaskId, Worker};

pub use action::{Action, PaceOrder, StartOrder, StopOrder};
pub use advice::AdviceAnswer;
pub use holds::HoldOrder;
pub use intake::CallerState;
pub use pools::{PoolLoad, plan_moves};
pub use recovery::StoredJob;
pub use settings::SchedulerSettings;
pub use storing::{Batch, BatchRow, WaveRow};
pub use upkeep::{VmRow, VmState, VmTask};
pub use waves::{CalledVm, Wave, WaveProgress, WaveState};

/// Decides for one owner: which task starts where, what is stored, what callers are told.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    config: Arc<FleetConfig>,
    jobs: LiteMap<SubmissionId, Box<Job>>,
    workers: LiteMap<WorkerId, Worker>,
    used: LiteMap<CustomerId, Resources>,
    arrivals: LiteMap<CustomerId, token_bucket::TokenBucket>,
    recent_work: recent_work::RecentWork,
    actions: Vec<Action>,
    /// The jobs that have to be stored, sorted.
    dirty: Vec<SubmissionId>,
    /// The last job of the last batch.
    stored_last: Option<SubmissionId>,
    /// Until when the ownership was confirmed to last if nobody else is heard of.
    leases_until: BootTime,
    /// When placements of an earlier owner have surely ended on workers that do not answer.
    inherited_until: Option<BootTime>,
    /// Tasks that an earlier owner placed on workers that are not listed yet.
    unadopted: LiteMap<WorkerId, Vec<TaskId>>,
    /// Whether something changed that may let a waiting task start.
    has_news: bool,
    upkeep: upkeep::Upkeep,
    advice: advice::Advice,
    /// The tasks that are placed and whose start has no answer yet, sorted.
    starting: Vec<TaskId>,
    pools_logged_at: BootTime,
    /// When time alone was looked at last.
    checked_at: BootTime,
    /// No lasting task is interrupted on purpose before this time: an earlier owner may just have
    /// interrupted others.
    interrupt_after: BootTime,
}

impl Scheduler {
    /// Creates the state of an owner that starts with nothing.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            config: Arc::new(FleetConfig::default()),
            jobs: LiteMap::new(),
            workers: LiteMap::new(),
            used: LiteMap::new(),
            arrivals: LiteMap::new(),
            recent_work: recent_work::RecentWork::default(),
            actions: Vec::new(),
            dirty: Vec::new(),
            stored_last: None,
            leases_until: BootTime::default(),
            inherited_until: None,
            unadopted: LiteMap::new(),
            has_news: true,
            upkeep: upkeep::Upkeep::default(),
            advice: advice::Advice::default(),
            starting: Vec::new(),
            pools_logged_at: BootTime::default(),
            checked_at: BootTime::default(),
            interrupt_after: BootTime::default(),
        }
    }

    /// Takes a newer configuration.
    pub fn set_config(&mut self, config: Arc<FleetConfig>) {
        self.config = config;
        self.has_news = true;
    }

    /// Notes until when leases may be granted.
    pub fn confirm_ownership(&mut self, leases_until: BootTime) {
        self.leases_until = self.leases_until.max(leases_until);
    }

    /// Returns the jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter().map(|(_, job)| &**job)
    }

    /// Returns the workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().map(|(_, worker)| worker)
    }

    /// Returns a worker.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Takes the orders that are due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Moves on what depends on time alone, and places what can be placed.
    pub fn tick(&mut self, now: BootTime, unix_ms: u64) {
        if now.since(self.checked_at) >= self.settings.check_interval {
            self.checked_at = now;
            self.drop_lapsed(now);
            self.drop_unreachable_inheritance(now);
            self.stop_stalled(now);
            self.forget_ended(now);
            self.leave_draining();
            self.begin_due(unix_ms);
            self.tick_upkeep(now);
            self.stop_unclear(now);
        }
        self.place_waiting(now);
    }

    /// Notes that a job has changed and has to be stored.
    fn mark_dirty(&mut self, id: &SubmissionId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.version += 1;
        }
        self.queue_for_batch(id);
    }

    /// Puts a job into the next batch.
    fn queue_for_batch(&mut self, id: &SubmissionId) {
        if let Err(index) = self.dirty.binary_search(id) {
            self.dirty.insert(index, id.clone());
        }
    }

    /// Notes that a start is on its way, or not any more.
    fn set_starting(&mut self, id: &TaskId, is_starting: bool) {
        match (self.starting.binary_search(id), is_starting) {
            (Ok(index), false) => drop(self.starting.remove(index)),
            (Err(index), true) => self.starting.insert(index, id.clone()),
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    /// Frees what a task's placement reserves, without changing the task.
    fn release(&mut self, id: &TaskId, now: BootTime) {
        self.set_starting(id, false);
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
            && let Some(used) = self.used.get_mut(customer)
        {
            *used -= step.demand;
        }
        self.has_news = true;
    }

    /// Reserves a worker's room and the customer's limit for a task.
    fn reserve(&mut self, id: &TaskId, worker: &WorkerId) {
        let Some(job) = self.jobs.get(&id.submission) else {
            return;
        };
        let step = job.step(id);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.add(id.clone(), step);
        }
        if let Some(customer) = &job.submission.customer {
            *self.used.entry(customer.clone()).or_default() += step.demand;
        }
    }

    /// Takes a task off its worker, where its run has surely ended without a result, and lets it wait.
    fn requeue(&mut self, id: &TaskId, now: BootTime, reason: &str) {
        let pause = self.settings.retry_pause;
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
        task.requeue(now, pause);
        self.mark_dirty(&id.submission);
    }

    fn set_order(&mut self, id: &TaskId, order: Order) {
        if self.starting.len() >= self.settings.max_starting && order != Order::Sending {
            // There is room for another start.
            self.has_news = true;
        }
        let is_starting = matches!(order, Order::Recording(_) | Order::Sending);
        self.set_starting(id, is_starting);
        if let Some(job) = self.jobs.get_mut(&id.submission)
            && let Some(task) = job.task_mut(id)
            && let Phase::Placed(placement) = &mut task.phase
        {
            placement.order = order;
        }
    }

    /// Returns whether a task runs until its submission is cancelled.
    fn is_lasting(&self, id: &TaskId) -> bool {
        let job = self.jobs.get(&id.submission);
        job.is_some_and(|job| job.step(id).is_lasting)
    }

    fn placement(&self, id: &TaskId) -> Option<&Placement> {
        self.jobs.get(&id.submission)?.task(id)?.placement()
    }
}
