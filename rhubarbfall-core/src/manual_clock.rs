use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

use crate::{BootTime, Clock};

/// A clock that advances only on request, for tests and benchmarks.
///
/// All clones share one time.
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
    /// Creates a clock whose wall-clock time is the Unix epoch and whose boot time is zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            wall_start: SystemTime::UNIX_EPOCH,
            elapsed: Arc::new(Mutex::new(Duration::ZERO)),
        }
    }

    /// Advances all three times by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock() += step;
    }

    /// Returns the sum of all advances of the clock.
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
