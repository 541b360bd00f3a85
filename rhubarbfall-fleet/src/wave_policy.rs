use std::time::Duration;

/// Batch sizes, failure limit and waits of maintenance waves.
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
    /// VMs that may be in flight before the first one has returned to service.
    pub first_batch_vms: u32,
    /// Additional VMs that may be in flight for each one that has returned to service.
    pub growth_per_done_vms: u32,
    /// VMs that must have returned to service for each failed one; with fewer, the wave stops.
    pub done_vms_per_failure: u32,
    /// Share of a pool's slots in percent; while demand exceeds it, the pool's VMs wait.
    pub busy_percent: u32,
    /// Share in percent of a pool's expected time in the wave that it may wait for lower demand.
    pub demand_wait_percent: u32,
    /// Expected unavailability of one VM, used for planned start times and due times.
    pub expected_downtime: Duration,
}

impl WavePolicy {
    /// Returns how many VMs may be in flight once `done_vms` have returned to service.
    #[must_use]
    pub const fn in_flight_limit_vms(&self, done_vms: u32) -> u32 {
        self.first_batch_vms
            .saturating_add(self.growth_per_done_vms.saturating_mul(done_vms))
    }

    /// Returns whether `failed_vms` failures must stop the wave.
    #[must_use]
    pub const fn must_stop(&self, failed_vms: u32, done_vms: u32) -> bool {
        failed_vms.saturating_mul(self.done_vms_per_failure) > done_vms
    }

    /// Sets how many VMs may be in flight before the first one has returned to service.
    #[must_use]
    pub const fn first_batch_vms(mut self, vms: u32) -> Self {
        self.first_batch_vms = vms;
        self
    }

    /// Sets how many more VMs may be in flight for each one that has returned to service.
    #[must_use]
    pub const fn growth_per_done_vms(mut self, vms: u32) -> Self {
        self.growth_per_done_vms = vms;
        self
    }

    /// Sets the expected unavailability of one VM.
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
