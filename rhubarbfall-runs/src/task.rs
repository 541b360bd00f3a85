use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, WorkerId};

/// A task and where it stands.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Task {
    /// Whether it waits, is placed or is done.
    pub phase: TaskPhase,
    /// How many of its runs have failed.
    pub failures: u32,
    /// The highest number that a run of it has had.
    pub last_run: u64,
    /// The newest checkpoint that a worker reported.
    pub checkpoint: Option<Arc<str>>,
    /// It is not placed before this time.
    pub not_before: BootTime,
    /// The worker on which the last run went wrong; others are preferred.
    pub avoided_worker: Option<WorkerId>,
}

/// The phase of a task.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum TaskPhase {
    /// It has no worker.
    #[default]
    Waiting,
    /// It has a worker.
    Placed(Placement),
    /// A run of it has ended as done.
    Done,
}

/// A run on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// The life of the worker, by its first millisecond since 1970.
    pub incarnation_unix_ms: u64,
    /// The run's number.
    pub run: u64,
    /// How far the order to start it has come.
    pub state: RunState,
    /// The progress that the worker reported last.
    pub progress_percent: u8,
    /// When the progress changed last.
    pub progress_at: BootTime,
    /// The share at which it may work, in percent; a run starts at 100.
    pub pace_percent: u8,
}

/// How far an order to a worker has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The placement is not stored yet; the job's version that holds it is given.
    Storing(u64),
    /// The call to start it is on its way.
    Sending,
    /// The worker has taken it.
    Accepted(BootTime),
    /// No answer came; the worker may still carry it out.
    Unconfirmed(BootTime),
    /// An earlier owner placed it; the worker has not been asked yet.
    Inherited,
    /// It is being stopped.
    Stopping {
        /// When the call to stop it was sent last.
        asked_at: Option<BootTime>,
        /// When the worker confirmed that this run will not start any more.
        confirmed_at: Option<BootTime>,
    },
}

impl RunState {
    /// A run that is to be stopped and has not been told so yet.
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

    /// Returns the placement to change it.
    pub const fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.phase {
            TaskPhase::Placed(placement) => Some(placement),
            TaskPhase::Waiting | TaskPhase::Done => None,
        }
    }

    /// Returns whether this very run is placed on this worker.
    #[must_use]
    pub fn is_run(&self, worker: &WorkerId, run: u64) -> bool {
        self.placement()
            .is_some_and(|placed| placed.run == run && placed.worker == *worker)
    }

    /// Puts the task back to those that wait.
    pub fn requeue(&mut self, now: BootTime, delay: Duration) {
        if let TaskPhase::Placed(placement) = std::mem::take(&mut self.phase) {
            self.avoided_worker = Some(placement.worker);
        }
        self.not_before = now + delay;
    }
}
