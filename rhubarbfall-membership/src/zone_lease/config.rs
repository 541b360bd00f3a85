use std::time::Duration;

/// The times of the zone lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneLeaseConfig {
    /// How long a lease lasts, from before the request that took or renewed it.
    pub duration: Duration,
    /// How long after it took or renewed the lease the holder renews it.
    pub renew_after: Duration,
    /// What a claimant adds to the duration for clocks that run at different speeds.
    pub drift_margin: Duration,
    /// The pause between two looks at the row of another holder, or after a failure.
    pub poll_interval: Duration,
}

impl ZoneLeaseConfig {
    /// Creates the usual times.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            duration: Duration::from_secs(15),
            renew_after: Duration::from_secs(5),
            drift_margin: Duration::from_millis(500),
            poll_interval: Duration::from_secs(5),
        }
    }

    /// Sets how long a lease lasts.
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
