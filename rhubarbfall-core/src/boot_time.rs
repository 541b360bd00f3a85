use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A point in time on a monotonic clock that keeps counting while the VM is suspended.
///
/// The expiry of worker leases and of the ownership of submissions is checked against this clock,
/// because a process that was suspended must find that its lease has expired.
/// [`std::time::Instant`] does not advance during a suspension.
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
    /// Creates a point in time from the duration since the VM started.
    #[must_use]
    pub const fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this time.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point in time `duration` before this one, or the start of the VM at the
    /// earliest.
    #[must_use]
    pub const fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }

    /// Returns the time since the VM started, in whole milliseconds.
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
