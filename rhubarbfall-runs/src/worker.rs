use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_core::{BootTime, SubmissionId};

use crate::{Resources, Step, TaskId, WorkerReport};

/// The slowest that a worker's clock may run, as the platform states it.
const MIN_CLOCK_RATE: f64 = 0.98;

/// What is added to a lease's end before it counts as lapsed: the worker's own timers fire late.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// A worker as its owner knows it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// What it says of itself.
    pub report: WorkerReport,
    /// Whether the platform lists it.
    pub is_listed: bool,
    /// Whether it answers.
    pub state: WorkerState,
    /// Its clock in milliseconds, and when the answer that told it arrived.
    pub clock: Option<(u64, BootTime)>,
    /// When it answered last.
    pub answered_at: BootTime,
    /// When every lease that it may hold has surely lapsed.
    pub lease_expiry: BootTime,
    /// What the tasks placed on it reserve.
    pub reserved: Resources,
    /// The tasks placed on it.
    pub placed: Vec<TaskId>,
    /// How many of them are lasting tasks that serve their own users.
    pub latency_sensitive_tasks: u32,
    /// How many of them use processor time that others leave over.
    pub best_effort_tasks: u32,
    /// What runs there that nobody here placed reserves.
    pub unexpected_load: Resources,
    /// The ends that were processed and are not acknowledged, with the job's version to be stored.
    pub unacknowledged_ends: VecDeque<(u64, SubmissionId, u64)>,
    /// The highest end that was processed.
    pub last_processed_end: u64,
    /// The highest end that may be acknowledged.
    pub last_stored_end: u64,
    /// The submissions that failed here since a task was last done.
    pub failed_submissions: Vec<SubmissionId>,
    /// It gets no work before this time.
    pub quarantined_until: BootTime,
    /// When the pace of its fillers was set last.
    pub paced_at: BootTime,
    /// When its last task ended.
    pub idle_since: BootTime,
}

/// Whether a worker answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It has not answered this owner yet.
    New,
    /// It answers.
    Reachable,
    /// Its leases have lapsed without an answer.
    Lapsed,
}

impl Worker {
    /// Creates a worker that has not answered yet.
    #[must_use]
    pub fn new(report: WorkerReport, now: BootTime) -> Self {
        Self {
            report,
            is_listed: true,
            state: WorkerState::New,
            clock: None,
            answered_at: BootTime::default(),
            lease_expiry: BootTime::default(),
            reserved: Resources::default(),
            placed: Vec::new(),
            latency_sensitive_tasks: 0,
            best_effort_tasks: 0,
            unexpected_load: Resources::default(),
            unacknowledged_ends: VecDeque::new(),
            last_processed_end: 0,
            last_stored_end: 0,
            failed_submissions: Vec::new(),
            quarantined_until: BootTime::default(),
            paced_at: BootTime::default(),
            idle_since: now,
        }
    }

    /// Returns the room that is left.
    #[must_use]
    pub const fn free_capacity(&self) -> Resources {
        self.report
            .capacity
            .saturating_sub(self.reserved)
            .saturating_sub(self.unexpected_load)
    }

    /// Returns whether new work may go there.
    #[must_use]
    pub fn accepts_work(&self, now: BootTime, unreachable_after: Duration) -> bool {
        self.is_listed
            && self.state == WorkerState::Reachable
            && !self.report.is_draining
            && self.quarantined_until <= now
            && now.since(self.answered_at) <= unreachable_after
    }

    /// Returns the end of a lease on the worker's clock, and notes when it will surely have lapsed.
    ///
    /// Returns `None` before the worker's clock is known.
    pub fn grant_lease(&mut self, until: BootTime) -> Option<u64> {
        let (clock_ms, read_at) = self.clock?;
        let length = until.since(read_at);
        let deadline_ms = clock_ms + length.as_millis() as u64;
        let lapsed = read_at + length.div_f64(MIN_CLOCK_RATE) + LEASE_EXPIRY_MARGIN;
        self.lease_expiry = self.lease_expiry.max(lapsed);
        Some(deadline_ms)
    }

    /// Notes that an earlier owner granted its last lease of this length before now.
    pub fn bound_inherited_lease(&mut self, now: BootTime, lease: Duration) {
        let lapsed = now + lease.div_f64(MIN_CLOCK_RATE) + LEASE_EXPIRY_MARGIN;
        self.lease_expiry = self.lease_expiry.min(lapsed);
    }

    /// Adds a task with what its step reserves.
    pub fn add(&mut self, task: TaskId, step: &Step) {
        self.placed.push(task);
        self.reserved += step.reserved();
        self.latency_sensitive_tasks += u32::from(step.tail_latency_target.is_some());
        self.best_effort_tasks += u32::from(step.is_best_effort);
    }

    /// Removes a task with what its step reserves, if it is placed here.
    pub fn remove(&mut self, task: &TaskId, step: &Step) {
        let Some(index) = self.placed.iter().position(|placed| placed == task) else {
            return;
        };
        self.placed.swap_remove(index);
        self.reserved -= step.reserved();
        self.latency_sensitive_tasks -= u32::from(step.tail_latency_target.is_some());
        self.best_effort_tasks -= u32::from(step.is_best_effort);
    }

    /// Returns whether it has no tasks and nothing unexpected runs there.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.unexpected_load == Resources::default()
    }
}
