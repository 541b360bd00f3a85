use std::time::Duration;

use rhubarbfall_core::Slots;
use serde::Serialize;

/// What an upstream is taken to need for a request before it has answered one.
const INITIAL_LATENCY_MS: f64 = 50.0;

/// What a failure counts as, so that an upstream that fails fast does not look fast.
const MIN_FAILURE_LATENCY_MS: f64 = 5_000.0;

/// The weight of one answer in the mean.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

/// How much of the mean remains each time that another upstream is preferred; a slow or failing one
/// so gets a request to prove itself now and then.
const LATENCY_DECAY_FACTOR: f64 = 63.0 / 64.0;

/// The running requests of one upstream and how fast it answers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rhubarbfall_core::Slots;
/// use rhubarbfall_routing::UpstreamLoad;
///
/// let mut load = UpstreamLoad::new(Slots::new(1));
/// assert!(load.has_free_slot());
/// load.start();
/// assert!(!load.has_free_slot());
/// let before = load.expected_wait_ms();
/// load.end();
/// load.observe(Duration::from_millis(1), false);
/// assert!(load.expected_wait_ms() > before);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct UpstreamLoad {
    slots: Slots,
    running_slots: Slots,
    latency_ms: f64,
}

impl UpstreamLoad {
    /// Creates the load of an idle upstream.
    #[must_use]
    pub const fn new(slots: Slots) -> Self {
        Self {
            slots,
            running_slots: Slots::ZERO,
            latency_ms: INITIAL_LATENCY_MS,
        }
    }

    /// Returns how many requests the upstream takes at once.
    #[must_use]
    pub const fn slots(&self) -> Slots {
        self.slots
    }

    /// Returns how many requests run.
    #[must_use]
    pub const fn running_slots(&self) -> Slots {
        self.running_slots
    }

    /// Changes how many requests the upstream takes at once.
    pub const fn set_slots(&mut self, slots: Slots) {
        self.slots = slots;
    }

    /// Returns whether another request may start.
    #[must_use]
    pub const fn has_free_slot(&self) -> bool {
        self.running_slots.get() < self.slots.get()
    }

    /// Counts a request that starts.
    pub const fn start(&mut self) {
        self.running_slots = self.running_slots.saturating_add(Slots::new(1));
    }

    /// Counts a request that ended.
    pub const fn end(&mut self) {
        self.running_slots = self.running_slots.saturating_sub(Slots::new(1));
    }

    /// Takes how long an answer took, or that there was none.
    pub fn observe(&mut self, latency: Duration, is_success: bool) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        let observed_ms = if is_success {
            latency_ms
        } else {
            latency_ms.max(MIN_FAILURE_LATENCY_MS)
        };
        self.latency_ms += LATENCY_EWMA_WEIGHT * (observed_ms - self.latency_ms);
    }

    /// Notes that another upstream was preferred.
    pub fn decay_latency(&mut self) {
        self.latency_ms *= LATENCY_DECAY_FACTOR;
    }

    /// Returns how long one more request is expected to take, for comparison with others.
    #[must_use]
    pub fn expected_wait_ms(&self) -> f64 {
        let slots = f64::from(self.slots.get().max(1));
        let load = f64::from(self.running_slots.get() + 1) / slots;
        self.latency_ms * load
    }
}
