use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_core::{BootTime, SubmissionId};

use crate::expected_ends::ExpectedEnds;
use crate::{Resources, Step, TaskId, WorkerReport};

/// The lowest rate of a worker's clock relative to real time, as guaranteed by the platform.
const MIN_CLOCK_RATE: f64 = 0.98;

/// The margin added to the end of a lease before it counts as expired, because a worker's own
/// timers fire late.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// The number of ended incarnations of a worker that are remembered. Entries and answers of earlier
/// ones have long arrived.
const MAX_ENDED_INCARNATIONS: usize = 8;

/// A worker with the state that its owner keeps.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker's entry in the platform's list.
    pub report: WorkerReport,
    /// Whether the platform currently lists the worker.
    pub is_listed: bool,
    /// When this owner learned of the worker's current incarnation.
    pub incarnation_known_since: BootTime,
    /// The incarnations that the present one has followed, the latest one last. Their numbers may be
    /// higher, since the clock of the worker's VM may have been set back.
    pub ended_incarnations: Vec<u64>,
    /// Whether the worker answers lease renewals.
    pub state: WorkerState,
    /// The worker's clock in milliseconds, and when the answer that contained it arrived.
    pub clock: Option<(u64, BootTime)>,
    /// When the worker last answered a lease renewal.
    pub answered_at: BootTime,
    /// When every lease that the worker may hold has certainly expired.
    pub lease_expiry: BootTime,
    /// The resources reserved by the tasks placed on the worker.
    pub reserved: Resources,
    /// The tasks placed on the worker.
    pub placed: Vec<TaskId>,
    /// When the runs of the placed tasks are expected to end, in the same order.
    pub expected_ends: ExpectedEnds,
    /// Whether a placed task may have been ordered to start on an earlier incarnation.
    pub may_have_earlier_starts: bool,
    /// The number of placed tasks that have a tail latency target.
    pub latency_sensitive_tasks: u32,
    /// The number of placed tasks that are long-running or have a longer estimate than a short task.
    pub lasting_tasks: u32,
    /// The number of placed best-effort tasks.
    pub best_effort_tasks: u32,
    /// The resources reserved by runs that the worker reports but this owner did not place.
    pub unexpected_load: Resources,
    /// The processed but unacknowledged run ends: the number of the end, the submission and the
    /// version of its job that must be stored first.
    pub unacknowledged_ends: VecDeque<(u64, SubmissionId, u64)>,
    /// The number of the last processed run end.
    pub last_processed_end: u64,
    /// The number of the last run end that may be acknowledged.
    pub last_stored_end: u64,
    /// The submissions with a failed run on the worker since a run was last done there.
    pub failed_submissions: Vec<SubmissionId>,
    /// The worker gets no work before this time.
    pub quarantined_until: BootTime,
    /// When the pace of the worker's best-effort tasks was last set.
    pub paced_at: BootTime,
    /// When a task last left the worker, or when this incarnation was first seen.
    pub idle_since: BootTime,
}

/// Whether a worker answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker has not answered this owner yet.
    New,
    /// The worker answers lease renewals.
    Reachable,
    /// The worker's leases have expired without an answer.
    Lapsed,
}

impl Worker {
    /// Creates a worker that has not answered yet.
    #[must_use]
    pub fn new(report: WorkerReport, now: BootTime) -> Self {
        Self {
            report,
            is_listed: true,
            incarnation_known_since: now,
            ended_incarnations: Vec::new(),
            state: WorkerState::New,
            clock: None,
            answered_at: BootTime::default(),
            lease_expiry: BootTime::default(),
            reserved: Resources::default(),
            placed: Vec::new(),
            expected_ends: ExpectedEnds::default(),
            may_have_earlier_starts: true,
            latency_sensitive_tasks: 0,
            lasting_tasks: 0,
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

    /// Returns the capacity that is not reserved.
    #[must_use]
    pub const fn free_capacity(&self) -> Resources {
        self.report
            .capacity
            .saturating_sub(self.reserved)
            .saturating_sub(self.unexpected_load)
    }

    /// Returns whether the placed tasks and the unexpected load exceed the capacity.
    #[must_use]
    pub fn is_overcommitted(&self) -> bool {
        !(self.reserved + self.unexpected_load).fits_in(self.report.capacity)
    }

    /// Returns whether new tasks may be placed on the worker; it must have answered within the last
    /// `unreachable_after`.
    #[must_use]
    pub fn accepts_work(&self, now: BootTime, unreachable_after: Duration) -> bool {
        self.is_listed
            && self.state == WorkerState::Reachable
            && !self.report.is_draining
            && self.quarantined_until <= now
            && now.since(self.answered_at) <= unreachable_after
    }

    /// Converts the end of a lease to the worker's clock in milliseconds, and records when the
    /// lease has certainly expired.
    ///
    /// Returns `None` before the worker's clock is known.
    pub fn grant_lease(&mut self, until: BootTime) -> Option<u64> {
        let (clock_ms, read_at) = self.clock?;
        let length = until.since(read_at);
        let deadline_ms = clock_ms.saturating_add(length.as_millis() as u64);
        let expiry = read_at + length.div_f64(MIN_CLOCK_RATE) + LEASE_EXPIRY_MARGIN;
        self.lease_expiry = self.lease_expiry.max(expiry);
        Some(deadline_ms)
    }

    /// Bounds the expiry of inherited leases: an earlier owner granted its last lease, of this
    /// length, before `now`.
    pub fn bound_inherited_lease(&mut self, now: BootTime, lease: Duration) {
        let expiry = now + lease.div_f64(MIN_CLOCK_RATE) + LEASE_EXPIRY_MARGIN;
        self.lease_expiry = self.lease_expiry.min(expiry);
    }

    /// Allows for a lease of this length that an order for an earlier incarnation may grant from
    /// `now` on: the end that it states is a time on the clock of that incarnation.
    pub fn allow_foreign_lease(&mut self, now: BootTime, longest: Duration) {
        let expiry = now + longest.div_f64(MIN_CLOCK_RATE) + LEASE_EXPIRY_MARGIN;
        self.lease_expiry = self.lease_expiry.max(expiry);
    }

    /// Returns whether an entry or an answer is of an incarnation that the present one has followed.
    #[must_use]
    pub fn has_ended(&self, incarnation_unix_ms: u64) -> bool {
        self.ended_incarnations.contains(&incarnation_unix_ms)
    }

    /// Resets the state after the worker has started again, except for the tasks placed on it and for
    /// the leases, which may have been granted to the present incarnation.
    pub fn restart(&mut self, incarnation_unix_ms: u64, now: BootTime) {
        let mut report = self.report.clone();
        let ended = std::mem::replace(&mut report.incarnation_unix_ms, incarnation_unix_ms);
        let earlier = std::mem::replace(self, Self::new(report, now));
        self.ended_incarnations = earlier.ended_incarnations;
        self.ended_incarnations
            .retain(|known| ![ended, incarnation_unix_ms].contains(known));
        self.ended_incarnations.push(ended);
        let excess = self
            .ended_incarnations
            .len()
            .saturating_sub(MAX_ENDED_INCARNATIONS);
        self.ended_incarnations.drain(..excess);
        self.lease_expiry = earlier.lease_expiry;
        self.reserved = earlier.reserved;
        self.placed = earlier.placed;
        self.expected_ends = earlier.expected_ends;
        self.latency_sensitive_tasks = earlier.latency_sensitive_tasks;
        self.best_effort_tasks = earlier.best_effort_tasks;
        self.lasting_tasks = earlier.lasting_tasks;
    }

    /// Adds a task and reserves the resources of its step.
    pub fn add(&mut self, task: TaskId, step: &Step) {
        self.placed.push(task);
        self.expected_ends.push(step.reserved());
        self.reserved += step.reserved();
        self.latency_sensitive_tasks += u32::from(step.tail_latency_target.is_some());
        self.best_effort_tasks += u32::from(step.is_best_effort);
        self.lasting_tasks += u32::from(step.is_lasting());
    }

    /// Removes a task and releases the resources of its step, if it is placed on the worker.
    pub fn remove(&mut self, task: &TaskId, step: &Step) {
        let Some(index) = self.placed.iter().position(|placed| placed == task) else {
            return;
        };
        self.placed.swap_remove(index);
        self.expected_ends.swap_remove(index);
        self.reserved -= step.reserved();
        self.latency_sensitive_tasks -= u32::from(step.tail_latency_target.is_some());
        self.best_effort_tasks -= u32::from(step.is_best_effort);
        self.lasting_tasks -= u32::from(step.is_lasting());
    }

    /// Advances the last run end that may be acknowledged, as far as `is_stored` returns true for the
    /// submissions and versions of the ends.
    pub fn acknowledge_stored_ends(&mut self, is_stored: impl Fn(&SubmissionId, u64) -> bool) {
        while let Some((number, id, version)) = self.unacknowledged_ends.front() {
            if !is_stored(id, *version) {
                break;
            }
            self.last_stored_end = self.last_stored_end.max(*number);
            self.unacknowledged_ends.pop_front();
        }
    }

    /// Returns whether the worker has no placed tasks and no unexpected load.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.unexpected_load == Resources::default()
    }
}
