use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

use crate::{BootTime, Clock};

/// A clock that only moves when a test or a benchmark advances it.
///
/// Clones share one time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rhubarbfall_core::{Clock, ManualClock};
///
/// let clock = ManualClock::new();
/// let start = clock.now();
/// clock.advance(Duration::from_secs(5));
/// assert_eq!(clock.now() - start, Duration::from_secs(5));
/// ```
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: Instant,
    wall_start: SystemTime,
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Creates a clock that stands still at the Unix epoch.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            wall_start: SystemTime::UNIX_EPOCH,
            elapsed: Arc::new(Mutex::new(Duration::ZERO)),
        }
    }

    /// Moves the time forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock() += step;
    }

    /// Returns how far the clock has moved since it was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock()
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        self.wall_start + self.elapsed()
    }

    fn boot_time(&self) -> BootTime {
        BootTime::new(self.elapsed())
    }
}
