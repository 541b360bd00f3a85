use std::time::{Duration, Instant, SystemTime};

use crate::{BootTime, Clock};

/// A clock that reads the operating system's time.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::{Clock, SystemClock};
///
/// let started = SystemClock::new().now();
/// assert!(started.elapsed().as_secs() < 60);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl SystemClock {
    /// Creates a clock; it has no state.
    #[must_use]
    pub const fn new() -> Self {
        Self
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }

    fn boot_time(&self) -> BootTime {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = Duration::from_secs(time.tv_sec.unsigned_abs());
        BootTime::new(seconds + Duration::from_nanos(time.tv_nsec.unsigned_abs()))
    }
}
