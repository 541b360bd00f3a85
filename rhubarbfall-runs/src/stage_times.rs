use std::fmt;
use std::time::Duration;

use rhubarbfall_core::BootTime;

/// A stage in the way of a task, from the opening of its step to the stored end of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The task waits for a worker.
    Waiting,
    /// The placement is being stored.
    Storing,
    /// The order to start is on its way.
    Starting,
    /// The run goes on, or its end has not been listed.
    Running,
    /// The end of the job is being stored.
    Reporting,
}

/// The time that a job has spent in each stage.
///
/// Each event of a task ends a stage, and the time since the job's previous event counts for that
/// stage. Where tasks of a job are in different stages, the time counts for the one that ends first.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rhubarbfall_core::BootTime;
/// use rhubarbfall_runs::{Stage, StageTimes};
///
/// let arrived_at = BootTime::new(Duration::from_secs(1));
/// let mut stages = StageTimes::new(arrived_at);
/// stages.end(Stage::Waiting, arrived_at + Duration::from_millis(300));
/// stages.end(Stage::Storing, arrived_at + Duration::from_millis(315));
/// assert_eq!(stages.spent(Stage::Waiting), Duration::from_millis(300));
/// assert_eq!(stages.spent(Stage::Storing), Duration::from_millis(15));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StageTimes {
    spent: [Duration; 5],
    last_event_at: BootTime,
}

impl StageTimes {
    /// Starts the first stage of a job that arrived at `now`.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            spent: [Duration::ZERO; 5],
            last_event_at: now,
        }
    }

    /// Counts the time since the previous event for `stage`.
    pub fn end(&mut self, stage: Stage, now: BootTime) {
        self.spent[stage as usize] += now.since(self.last_event_at);
        self.last_event_at = now;
    }

    /// Returns the time spent in a stage.
    #[must_use]
    pub const fn spent(&self, stage: Stage) -> Duration {
        self.spent[stage as usize]
    }
}

impl fmt::Display for StageTimes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |stage| self.spent(stage).as_millis();
        write!(
            f,
            "waiting_ms={} storing_ms={} starting_ms={} running_ms={} reporting_ms={}",
            ms(Stage::Waiting),
            ms(Stage::Storing),
            ms(Stage::Starting),
            ms(Stage::Running),
            ms(Stage::Reporting)
        )
    }
}
