use std::time::Duration;

/// Time limits and waits of drains, reboots and moves.
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
    /// How long an entry may route on a VM's row after reading it; `None` means that views do not
    /// expire, and that a drain ends only by the confirmation of every entry.
    pub view_lifetime: Option<Duration>,
    /// Longest time that a request may run on an upstream.
    pub longest_request: Duration,
    /// Margin added to waits that depend on another process's clock.
    pub drift_margin: Duration,
    /// Longest time from the reboot permit until the platform reports the reboot as done.
    pub reboot_limit: Duration,
    /// How long a VM must pass its health checks before it returns to service.
    pub min_healthy_time: Duration,
    /// Time within which a VM must have been healthy for `min_healthy_time`.
    pub healthy_deadline: Duration,
    /// How long a VM must fail its health checks to count as an outage.
    pub outage_after: Duration,
    /// How long a zone defers to earlier zones of a pool that leave budget unused.
    pub earlier_zone_wait: Duration,
}

impl FleetTimings {
    /// Returns the time after which no request can run on a VM whose drain was committed, or `None`
    /// if views do not expire.
    #[must_use]
    pub fn drain_limit(&self) -> Option<Duration> {
        let lifetime = self.view_lifetime?;
        Some(lifetime + self.longest_request + self.drift_margin)
    }

    /// Sets how long an entry may route on a VM's row after reading it.
    #[must_use]
    pub const fn view_lifetime(mut self, lifetime: Option<Duration>) -> Self {
        self.view_lifetime = lifetime;
        self
    }

    /// Sets the longest time that a request may run.
    #[must_use]
    pub const fn longest_request(mut self, limit: Duration) -> Self {
        self.longest_request = limit;
        self
    }

    /// Sets the longest time that a reboot may take.
    #[must_use]
    pub const fn reboot_limit(mut self, limit: Duration) -> Self {
        self.reboot_limit = limit;
        self
    }

    /// Sets how long a VM must be healthy before it returns to service.
    #[must_use]
    pub const fn min_healthy_time(mut self, duration: Duration) -> Self {
        self.min_healthy_time = duration;
        self
    }

    /// Sets the time within which a VM must have become healthy.
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

    /// Sets how long a zone defers to earlier zones.
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
