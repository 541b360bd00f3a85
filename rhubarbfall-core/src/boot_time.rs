use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A time on the clock that also counts while the VM is suspended.
///
/// Leases and ownership are judged on this clock: a process that was suspended must see that its
/// lease has lapsed. [`std::time::Instant`] stands still during a suspension.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rhubarbfall_core::BootTime;
///
/// let start = BootTime::new(Duration::from_secs(5));
/// let later = start + Duration::from_millis(20);
/// assert_eq!(later.since(start), Duration::from_millis(20));
/// assert_eq!(start.since(later), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates a time from what has passed since the VM started.
    #[must_use]
    pub const fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns what has passed since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time that was `duration` before this one.
    #[must_use]
    pub const fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }

    /// Returns the whole milliseconds since the VM started.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0.as_millis() as u64
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

impl fmt::Display for BootTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.0.as_secs_f64())
    }
}
