use std::time::Duration;

use rhubarbfall_core::Slots;
use serde::Serialize;

/// Assumed latency of an upstream before its first response.
const INITIAL_LATENCY_MS: f64 = 50.0;

/// Lower bound on the latency recorded for a failure, so that an upstream that fails fast does not
/// appear fast.
const MIN_FAILURE_LATENCY_MS: f64 = 5_000.0;

/// Weight of one response in the moving average of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

/// Factor applied to the average latency at each selection, so that a slow or failing upstream is
/// tried again from time to time.
const LATENCY_DECAY_FACTOR: f64 = 63.0 / 64.0;

/// Tracks the running requests and the average latency of one upstream.
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
    /// Creates the load of an idle upstream with the given number of slots.
    #[must_use]
    pub const fn new(slots: Slots) -> Self {
        Self {
            slots,
            running_slots: Slots::ZERO,
            latency_ms: INITIAL_LATENCY_MS,
        }
    }

    /// Returns how many requests the upstream can run concurrently.
    #[must_use]
    pub const fn slots(&self) -> Slots {
        self.slots
    }

    /// Returns how many requests are running.
    #[must_use]
    pub const fn running_slots(&self) -> Slots {
        self.running_slots
    }

    /// Sets how many requests the upstream can run concurrently; running requests are unaffected.
    pub const fn set_slots(&mut self, slots: Slots) {
        self.slots = slots;
    }

    /// Returns whether the upstream can start another request.
    #[must_use]
    pub const fn has_free_slot(&self) -> bool {
        self.running_slots.get() < self.slots.get()
    }

    /// Records the start of a request.
    pub const fn start(&mut self) {
        self.running_slots = self.running_slots.saturating_add(Slots::new(1));
    }

    /// Records the end of a request.
    pub const fn end(&mut self) {
        self.running_slots = self.running_slots.saturating_sub(Slots::new(1));
    }

    /// Adds the latency of a finished request to the average; a failure counts as at least 5 s.
    pub fn observe(&mut self, latency: Duration, is_success: bool) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        let observed_ms = if is_success {
            latency_ms
        } else {
            latency_ms.max(MIN_FAILURE_LATENCY_MS)
        };
        self.latency_ms += LATENCY_EWMA_WEIGHT * (observed_ms - self.latency_ms);
    }

    /// Lowers the average latency slightly, so that the upstream is eventually selected again.
    pub fn decay_latency(&mut self) {
        self.latency_ms *= LATENCY_DECAY_FACTOR;
    }

    /// Returns the expected wait of one more request in milliseconds, for comparison with other
    /// upstreams: the average latency times the share of slots in use, the new request included.
    #[must_use]
    pub fn expected_wait_ms(&self) -> f64 {
        let slots = f64::from(self.slots.get().max(1));
        let load = f64::from(self.running_slots.get() + 1) / slots;
        self.latency_ms * load
    }
}
