use std::time::Duration;

/// How long the steps of a drain, a reboot and a move may take.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rhubarbfall_fleet::FleetTimings;
///
/// let timings = FleetTimings::default().reboot_limit(Duration::from_mins(10));
/// assert_eq!(timings.reboot_limit, Duration::from_mins(10));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetTimings {
    /// How long an entry may route on what it has read of a VM's row; without it views do not
    /// expire, and a drain ends by the confirmation of every entry only.
    pub view_lifetime: Option<Duration>,
    /// How long the longest request may run on an upstream.
    pub longest_request: Duration,
    /// What is added to waits that rely on another process's clock.
    pub drift_margin: Duration,
    /// How long a VM may take from the reboot permit until the platform reports it done.
    pub reboot_limit: Duration,
    /// How long a VM must answer its health check before it takes work again.
    pub min_healthy_time: Duration,
    /// How long a VM may take to prove healthy.
    pub healthy_deadline: Duration,
    /// How long a VM must fail its health check to count as an outage.
    pub outage_after: Duration,
    /// How long a zone waits for its turn while an earlier one leaves budget unused.
    pub earlier_zone_wait: Duration,
}

impl FleetTimings {
    /// Returns the time after which nothing can run on a VM whose drain was committed, if views
    /// expire.
    #[must_use]
    pub fn drain_limit(&self) -> Option<Duration> {
        let lifetime = self.view_lifetime?;
        Some(lifetime + self.longest_request + self.drift_margin)
    }

    /// Sets how long an entry may route on what it has read.
    #[must_use]
    pub const fn view_lifetime(mut self, lifetime: Option<Duration>) -> Self {
        self.view_lifetime = lifetime;
        self
    }

    /// Sets how long the longest request may run.
    #[must_use]
    pub const fn longest_request(mut self, limit: Duration) -> Self {
        self.longest_request = limit;
        self
    }

    /// Sets how long a VM may take to come back from its reboot.
    #[must_use]
    pub const fn reboot_limit(mut self, limit: Duration) -> Self {
        self.reboot_limit = limit;
        self
    }

    /// Sets how long a VM must be healthy before it takes work again.
    #[must_use]
    pub const fn min_healthy_time(mut self, duration: Duration) -> Self {
        self.min_healthy_time = duration;
        self
    }

    /// Sets how long a VM may take to prove healthy.
    #[must_use]
    pub const fn healthy_deadline(mut self, limit: Duration) -> Self {
        self.healthy_deadline = limit;
        self
    }

    /// Sets how long a VM must be unhealthy to count as an outage.
    #[must_use]
    pub const fn outage_after(mut self, duration: Duration) -> Self {
        self.outage_after = duration;
        self
    }

    /// Sets how long a zone waits for its turn.
    #[must_use]
    pub const fn earlier_zone_wait(mut self, duration: Duration) -> Self {
        self.earlier_zone_wait = duration;
        self
    }
}

impl Default for FleetTimings {
    fn default() -> Self {
        Self {
            view_lifetime: Some(Duration::from_secs(3)),
            longest_request: Duration::from_secs(30),
            drift_margin: Duration::from_secs(2),
            reboot_limit: Duration::from_mins(15),
            min_healthy_time: Duration::from_secs(10),
            healthy_deadline: Duration::from_mins(2),
            outage_after: Duration::from_secs(3),
            earlier_zone_wait: Duration::from_secs(30),
        }
    }
}
