//! Log lines for submissions that wait with nothing running, each with what keeps their tasks from
//! starting: a limit, the advice service or the VMs of the pool.

use std::fmt;
use std::time::Duration;

use rhubarbfall_core::{BootTime, CustomerId};

use super::Scheduler;
use super::ordering::rank;
use super::placing::{has_label, is_step_full};
use crate::{Job, Resources, Step, StepId, TaskPhase, Worker};

/// The interval between lines about the same submission.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long a submission has waited when it is logged for the first time.
const MIN_WAIT: Duration = Duration::from_secs(3);

/// The maximum number of lines in one interval, for the submissions that have waited longest.
const MAX_LINES: usize = 20;

/// What keeps a task from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Obstacle {
    /// The limit of the customer, or the part of it that this cell has.
    Limit,
    /// No worker of the service may get work.
    NoWorker,
    /// No worker has so much free.
    NoRoom {
        /// The workers with room if their short tasks ended.
        after_short_tasks: usize,
    },
    /// The workers with room lack the label or have as many tasks of the step as they may.
    NotAllowed,
    /// The workers with room have no ticket of the advice service.
    NoTicket,
    /// The room is held for other tasks.
    Held,
    /// Nothing that is known; the limit on starts, or the size of its rows.
    Other,
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limit => f.write_str("limit"),
            Self::NoWorker => f.write_str("no_worker"),
            Self::NoRoom { after_short_tasks } => {
                write!(f, "no_room after_short_tasks={after_short_tasks}")
            }
            Self::NotAllowed => f.write_str("not_allowed"),
            Self::NoTicket => f.write_str("no_ticket"),
            Self::Held => f.write_str("held"),
            Self::Other => f.write_str("other"),
        }
    }
}

impl Scheduler {
    /// Logs the submissions that wait with nothing running, if a line is due.
    pub(super) fn log_waiting(&mut self, now: BootTime) {
        if now.since(self.waiting_logged_at) < LOG_INTERVAL {
            return;
        }
        self.waiting_logged_at = now;
        let mut waiting: Vec<(&Job, StepId)> = self
            .jobs
            .active()
            .filter(|job| now.since(job.accepted_at) >= MIN_WAIT)
            .filter_map(|job| Some((job, waiting_step(job, now)?)))
            .collect();
        let count = waiting.len();
        waiting.sort_by_key(|(job, _)| job.accepted_at);
        for (job, id) in waiting.into_iter().take(MAX_LINES) {
            let step = &job.submission.steps[usize::from(id.step)];
            let customer = job.submission.customer.as_ref();
            log::info!(
                "event=submission_waiting id={id} queue={} age_ms={} customer={} {} demand={} of={count} cause={}",
                job.submission.queue,
                now.since(job.accepted_at).as_millis(),
                customer.map_or("-", |customer| customer.as_str()),
                self.limit_use(customer),
                step.demand,
                self.obstacle(job, &id, now)
            );
        }
    }

    /// Describes what a customer uses of its limit and of this cell's part of it.
    fn limit_use(&self, customer: Option<&CustomerId>) -> String {
        let found = customer.and_then(|id| self.config.customer(id));
        let Some(customer) = found else {
            return "limit=-".to_owned();
        };
        let used = self.customer_usage.get(&customer.id).copied();
        format!(
            "used={} share={} limit={}",
            used.unwrap_or_default(),
            self.customer_share(customer),
            customer.limit
        )
    }

    /// Returns what keeps the tasks of a step from starting.
    pub(super) fn obstacle(&self, job: &Job, id: &StepId, now: BootTime) -> Obstacle {
        let step = &job.submission.steps[usize::from(id.step)];
        let customer = job.submission.customer.as_ref();
        let Some(queue) = self.config.queue(&job.submission.queue) else {
            return Obstacle::Other;
        };
        if !self.is_within_customer_limit(customer, step.demand) {
            return Obstacle::Limit;
        }
        let cordoned = self.vm_ops.cordoned();
        let usable: Vec<&Worker> = self
            .workers()
            .filter(|worker| worker.report.service == queue.service)
            .filter(|worker| self.is_usable(worker, &cordoned, now))
            .collect();
        if usable.is_empty() {
            return Obstacle::NoWorker;
        }
        let reserved = step.reserved();
        let fits = |worker: &&&Worker| reserved.fits_in(worker.free_capacity());
        let with_room: Vec<&Worker> = usable.iter().filter(fits).copied().collect();
        if with_room.is_empty() {
            let fits_later = |worker: &&&Worker| {
                let lasting = self.long_running_load(worker);
                let room = worker.report.capacity.saturating_sub(lasting);
                reserved.fits_in(room) && is_allowed(worker, id, step)
            };
            return Obstacle::NoRoom {
                after_short_tasks: usable.iter().filter(fits_later).count(),
            };
        }
        let mut allowed = with_room.into_iter();
        let allowed: Vec<&Worker> = allowed
            .by_ref()
            .filter(|worker| is_allowed(worker, id, step))
            .collect();
        if allowed.is_empty() {
            return Obstacle::NotAllowed;
        }
        let has_ticket = |worker: &&Worker| self.advice.ticket(id, worker, now).is_some();
        if queue.advice.is_some() && !allowed.iter().any(has_ticket) {
            return Obstacle::NoTicket;
        }
        let standing = rank(job, queue, now).standing();
        let is_held = |worker: &&Worker| self.is_held_against(worker, id, standing, reserved);
        if allowed.iter().all(is_held) {
            return Obstacle::Held;
        }
        Obstacle::Other
    }

    /// Returns what the long-running tasks on a worker reserve.
    pub(super) fn long_running_load(&self, worker: &Worker) -> Resources {
        let mut load = Resources::default();
        for id in &worker.placed {
            if let Some(job) = self.jobs.get(&id.submission)
                && job.step(id).is_long_running
            {
                load += job.step(id).reserved();
            }
        }
        load
    }
}

fn is_allowed(worker: &Worker, id: &StepId, step: &Step) -> bool {
    has_label(worker, step) && !is_step_full(worker, id, step)
}

/// Returns the first step with a task that may start, if no task of the job is placed.
fn waiting_step(job: &Job, now: BootTime) -> Option<StepId> {
    let mut first = None;
    for (occurrence, number, _, run) in job.open_steps() {
        let is_placed = |phase: &TaskPhase| matches!(phase, TaskPhase::Placed(_));
        if run.tasks.iter().any(|task| is_placed(&task.phase)) {
            return None;
        }
        let is_ready =
            |task: &crate::Task| task.phase == TaskPhase::Waiting && task.not_before <= now;
        if first.is_none() && run.tasks.iter().any(is_ready) {
            first = Some(StepId {
                submission: job.submission.id.clone(),
                occurrence,
                step: number as u16,
            });
        }
    }
    first
}
