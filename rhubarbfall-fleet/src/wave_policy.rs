use std::time::Duration;

/// How a wave trades speed for care.
///
/// # Examples
///
/// ```
/// use rhubarbfall_fleet::WavePolicy;
///
/// let policy = WavePolicy::default().first_batch_vms(2);
/// assert_eq!(policy.in_flight_limit_vms(0), 2);
/// assert!(policy.in_flight_limit_vms(1) > 2);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WavePolicy {
    /// How many VMs may be in flight before the first has come back.
    pub first_batch_vms: u32,
    /// How many more may be in flight for each one that has come back.
    pub growth_per_done_vms: u32,
    /// A wave stops once more than one in this many of its VMs has failed.
    pub done_vms_per_failure: u32,
    /// The share of a pool's slots, in percent, above which its VMs wait for lower demand.
    pub busy_percent: u32,
    /// The share of its time in the wave, in percent, that a pool may spend waiting for demand.
    pub demand_wait_percent: u32,
    /// How long one VM is expected to be unavailable, for the plan and for due times.
    pub expected_downtime: Duration,
}

impl WavePolicy {
    /// Returns how many VMs may be in flight once `done_vms` have come back.
    #[must_use]
    pub const fn in_flight_limit_vms(&self, done_vms: u32) -> u32 {
        self.first_batch_vms
            .saturating_add(self.growth_per_done_vms.saturating_mul(done_vms))
    }

    /// Returns whether so many failures must stop the wave.
    #[must_use]
    pub const fn must_stop(&self, failed_vms: u32, done_vms: u32) -> bool {
        failed_vms.saturating_mul(self.done_vms_per_failure) > done_vms
    }

    /// Sets how many VMs may be in flight before the first has come back.
    #[must_use]
    pub const fn first_batch_vms(mut self, vms: u32) -> Self {
        self.first_batch_vms = vms;
        self
    }

    /// Sets how many more may be in flight for each one that has come back.
    #[must_use]
    pub const fn growth_per_done_vms(mut self, vms: u32) -> Self {
        self.growth_per_done_vms = vms;
        self
    }

    /// Sets how long one VM is expected to be unavailable.
    #[must_use]
    pub const fn expected_downtime(mut self, time: Duration) -> Self {
        self.expected_downtime = time;
        self
    }
}

impl Default for WavePolicy {
    fn default() -> Self {
        Self {
            first_batch_vms: 4,
            growth_per_done_vms: 16,
            done_vms_per_failure: 20,
            busy_percent: 90,
            demand_wait_percent: 5,
            expected_downtime: Duration::from_mins(6),
        }
    }
}
