use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_core::{BootTime, SubmissionId};

use crate::{Resources, Step, TaskId, WorkerReport};

/// The slowest that a worker's clock may run, as the platform states it.
const SLOWEST_CLOCK: f64 = 0.98;

/// What is added to a lease's end before it counts as lapsed: the worker's own timers fire late.
const LAPSE_MARGIN: Duration = Duration::from_millis(100);

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
    pub lease_until: BootTime,
    /// What the tasks placed on it reserve.
    pub reserved: Resources,
    /// The tasks placed on it.
    pub placed: Vec<TaskId>,
    /// How many of them are lasting tasks that serve their own users.
    pub serving: u32,
    /// How many of them use processor time that others leave over.
    pub fillers: u32,
    /// What runs there that nobody here placed reserves.
    pub strays: Resources,
    /// The ends that were processed and are not acknowledged, with the job's version to be stored.
    pub ends: VecDeque<(u64, SubmissionId, u64)>,
    /// The highest end that was processed.
    pub seen_end: u64,
    /// The highest end that may be acknowledged.
    pub stored_end: u64,
    /// The submissions that failed here since a task was last done.
    pub failed: Vec<SubmissionId>,
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
    InTouch,
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
            lease_until: BootTime::default(),
            reserved: Resources::default(),
            placed: Vec::new(),
            serving: 0,
            fillers: 0,
            strays: Resources::default(),
            ends: VecDeque::new(),
            seen_end: 0,
            stored_end: 0,
            failed: Vec::new(),
            quarantined_until: BootTime::default(),
            paced_at: BootTime::default(),
            idle_since: now,
        }
    }

    /// Returns the room that is left.
    #[must_use]
    pub const fn room(&self) -> Resources {
        self.report
            .capacity
            .saturating_sub(self.reserved)
            .saturating_sub(self.strays)
    }

    /// Returns whether new work may go there.
    #[must_use]
    pub fn takes_work(&self, now: BootTime, silent_after: Duration) -> bool {
        self.is_listed
            && self.state == WorkerState::InTouch
            && !self.report.is_draining
            && self.quarantined_until <= now
            && now.since(self.answered_at) <= silent_after
    }

    /// Returns the end of a lease on the worker's clock, and notes when it will surely have lapsed.
    ///
    /// Returns `None` before the worker's clock is known.
    pub fn grant_lease(&mut self, until: BootTime) -> Option<u64> {
        let (clock_ms, read_at) = self.clock?;
        let length = until.since(read_at);
        let deadline_ms = clock_ms + length.as_millis() as u64;
        let lapsed = read_at + length.div_f64(SLOWEST_CLOCK) + LAPSE_MARGIN;
        self.lease_until = self.lease_until.max(lapsed);
        Some(deadline_ms)
    }

    /// Notes that an earlier owner granted its last lease of this length before now.
    pub fn bound_inherited_lease(&mut self, now: BootTime, lease: Duration) {
        let lapsed = now + lease.div_f64(SLOWEST_CLOCK) + LAPSE_MARGIN;
        self.lease_until = self.lease_until.min(lapsed);
    }

    /// Adds a task with what its step reserves.
    pub fn add(&mut self, task: TaskId, step: &Step) {
        self.placed.push(task);
        self.reserved += step.reserved();
        self.serving += u32::from(step.tail_target.is_some());
        self.fillers += u32::from(step.is_filler);
    }

    /// Removes a task with what its step reserves, if it is placed here.
    pub fn remove(&mut self, task: &TaskId, step: &Step) {
        let Some(index) = self.placed.iter().position(|placed| placed == task) else {
            return;
        };
        self.placed.swap_remove(index);
        self.reserved -= step.reserved();
        self.serving -= u32::from(step.tail_target.is_some());
        self.fillers -= u32::from(step.is_filler);
    }

    /// Returns whether it has no tasks and nothing unexpected runs there.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.strays == Resources::default()
    }
}
