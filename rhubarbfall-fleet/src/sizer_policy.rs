use std::time::Duration;

use rhubarbfall_core::PoolId;

/// When pools grow and shrink.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SizerPolicy {
    /// The pool that lends VMs and has no queues; without it pools lend to each other only.
    pub spare_pool: Option<PoolId>,
    /// The share of a pool's slots, in percent, above which it is short of VMs.
    pub grow_percent: u32,
    /// The share of a pool's slots, in percent, below which it may lend VMs.
    pub shrink_percent: u32,
    /// How long a pool must be short before it grows.
    pub grow_after: Duration,
    /// How long a pool must have too much before it lends.
    pub shrink_after: Duration,
    /// How long a move takes: drain and warm-up.
    pub move_time: Duration,
    /// How long a shortage lasts, until the pool has shown its own.
    pub expected_shortage: Duration,
    /// The share of the waiting requests, in percent, that counts as demand, so that a queue that
    /// has built up does not call for more VMs than it takes to clear it over some time.
    pub waiting_percent: u32,
    /// What a move must earn, in percent of its cost.
    pub min_gain_percent: u64,
}

impl SizerPolicy {
    /// Sets the pool that lends VMs.
    #[must_use]
    pub fn spare_pool(mut self, pool: Option<PoolId>) -> Self {
        self.spare_pool = pool;
        self
    }

    /// Sets how long a move takes.
    #[must_use]
    pub const fn move_time(mut self, time: Duration) -> Self {
        self.move_time = time;
        self
    }

    /// Sets how long a shortage is expected to last.
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
