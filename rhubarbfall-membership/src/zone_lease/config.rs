use std::time::Duration;

/// Time limits of the zone lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneLeaseConfig {
    /// Duration of a lease, measured from before the request that acquired or renewed it.
    pub duration: Duration,
    /// Time after acquisition or renewal at which the holder renews the lease.
    pub renew_after: Duration,
    /// Time that a claimant waits beyond the duration, since clocks run at different speeds.
    pub drift_margin: Duration,
    /// Interval between two reads of a row that another entry holds; a fifth of it is the pause
    /// after a lost answer.
    pub poll_interval: Duration,
}

impl ZoneLeaseConfig {
    /// Creates a configuration with the default times.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            duration: Duration::from_secs(15),
            renew_after: Duration::from_secs(5),
            drift_margin: Duration::from_millis(500),
            poll_interval: Duration::from_secs(5),
        }
    }

    /// Sets the duration of a lease.
    #[must_use]
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }
}

impl Default for ZoneLeaseConfig {
    fn default() -> Self {
        Self::new()
    }
}
