use std::time::Duration;

use rhubarbfall_core::PoolId;

/// Thresholds and times by which pools grow and shrink.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SizerPolicy {
    /// Pool that holds VMs in reserve and has no queues; without it, VMs move only between pools
    /// with queues.
    pub spare_pool: Option<PoolId>,
    /// Share of a pool's slots, in percent; above it, the pool is short of VMs.
    pub grow_percent: u32,
    /// Share of a pool's slots, in percent; at or below it, the pool may give up VMs.
    pub shrink_percent: u32,
    /// How long a pool must be short of VMs before it grows.
    pub grow_after: Duration,
    /// How long a pool must have slack before it gives up VMs.
    pub shrink_after: Duration,
    /// Duration of a move: drain and warm-up.
    pub move_time: Duration,
    /// Expected duration of a shortage before any has been observed.
    pub expected_shortage: Duration,
    /// Share of the waiting requests, in percent, that counts as demand, so that a backlog does not
    /// request more VMs than are needed to clear it over some time.
    pub waiting_percent: u32,
    /// Gain that a move must exceed, in percent of its cost.
    pub min_gain_percent: u64,
}

impl SizerPolicy {
    /// Sets the pool that holds VMs in reserve.
    #[must_use]
    pub fn spare_pool(mut self, pool: Option<PoolId>) -> Self {
        self.spare_pool = pool;
        self
    }

    /// Sets the duration of a move.
    #[must_use]
    pub const fn move_time(mut self, time: Duration) -> Self {
        self.move_time = time;
        self
    }

    /// Sets the expected duration of a shortage.
    #[must_use]
    pub const fn expected_shortage(mut self, time: Duration) -> Self {
        self.expected_shortage = time;
        self
    }
}

impl Default for SizerPolicy {
    fn default() -> Self {
        Self {
            spare_pool: None,
            grow_percent: 90,
            shrink_percent: 50,
            grow_after: Duration::from_secs(10),
            shrink_after: Duration::from_mins(1),
            move_time: Duration::from_secs(40),
            expected_shortage: Duration::from_mins(5),
            waiting_percent: 20,
            min_gain_percent: 150,
        }
    }
}
