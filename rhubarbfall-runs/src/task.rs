use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, WorkerId};

/// A task with its state and history.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Task {
    /// Whether the task is waiting, placed or done.
    pub phase: TaskPhase,
    /// The number of failed runs.
    pub failures: u32,
    /// The highest run number used so far.
    pub last_run: u64,
    /// The newest checkpoint that a worker reported.
    pub checkpoint: Option<Arc<str>>,
    /// The earliest time at which the task may be placed again.
    pub not_before: BootTime,
    /// The worker of the last unsuccessful run; other workers are preferred.
    pub avoided_worker: Option<WorkerId>,
}

/// The phase of a task.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum TaskPhase {
    /// The task has no worker.
    #[default]
    Waiting,
    /// The task is assigned to a worker.
    Placed(Placement),
    /// A run of the task has completed.
    Done,
}

/// A run that is assigned to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The worker to which the run is assigned.
    pub worker: WorkerId,
    /// The worker's incarnation: its start time in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
    /// The number of the run.
    pub run: u64,
    /// How far the start or stop of the run has come.
    pub state: RunState,
    /// Whether this incarnation of the worker has listed the run.
    pub is_listed: bool,
    /// The last reported progress in percent.
    pub progress_percent: u8,
    /// When the reported progress last changed.
    pub progress_at: BootTime,
    /// The speed at which the run may work, in percent; a run starts at 100.
    pub pace_percent: u8,
}

/// How far the start or stop of a placed run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The placement is not stored yet; holds the version of the job that contains it.
    Storing(u64),
    /// The start call is in flight.
    Sending,
    /// The worker accepted the start at this time.
    Accepted(BootTime),
    /// The start call got no answer; the worker may still carry it out. Holds the time of the
    /// failure.
    Unconfirmed(BootTime),
    /// The worker did not list the run after its start call had failed; a stop call revokes the
    /// start, because it may still be carried out.
    RevokingStart {
        /// When the stop call was last sent.
        asked_at: BootTime,
        /// When the worker first confirmed that the run will not start any more.
        confirmed_at: Option<BootTime>,
    },
    /// An earlier owner placed the run, and the worker has not reported yet.
    Inherited,
    /// The run is being stopped.
    Stopping {
        /// When the stop call was last sent, or `None` if it was not sent yet.
        asked_at: Option<BootTime>,
        /// When the worker first confirmed that the run will not start any more.
        confirmed_at: Option<BootTime>,
    },
}

impl RunState {
    /// The state of a run that is to be stopped, before the stop call is sent.
    pub const STOP_REQUESTED: Self = Self::Stopping {
        asked_at: None,
        confirmed_at: None,
    };

    /// Returns whether the run is being stopped.
    #[must_use]
    pub const fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping { .. })
    }
}

impl Task {
    /// Returns the placement, if the task has one.
    #[must_use]
    pub const fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            TaskPhase::Placed(placement) => Some(placement),
            TaskPhase::Waiting | TaskPhase::Done => None,
        }
    }

    /// Returns the placement for modification, if the task has one.
    pub const fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.phase {
            TaskPhase::Placed(placement) => Some(placement),
            TaskPhase::Waiting | TaskPhase::Done => None,
        }
    }

    /// Returns whether no run of the task was ordered or may be in progress.
    #[must_use]
    pub const fn has_no_run(&self) -> bool {
        match &self.phase {
            TaskPhase::Waiting => true,
            TaskPhase::Placed(placement) => matches!(placement.state, RunState::Storing(_)),
            TaskPhase::Done => false,
        }
    }

    /// Returns whether the run with this number is placed on this worker.
    #[must_use]
    pub fn is_run(&self, worker: &WorkerId, run: u64) -> bool {
        self.placement()
            .is_some_and(|placed| placed.run == run && placed.worker == *worker)
    }

    /// Returns a placed task to the waiting phase and delays its next placement by `delay`.
    pub fn requeue(&mut self, now: BootTime, delay: Duration) {
        if let TaskPhase::Placed(placement) = std::mem::take(&mut self.phase) {
            self.avoided_worker = Some(placement.worker);
        }
        self.not_before = now + delay;
    }
}
