//! Timeouts of store transactions, adapted to the store's latency.

use std::time::Duration;

/// Shortest timeout: several times the usual round trip, and short compared with the ownership
/// lease.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest timeout: four times the slowest transaction observed.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Number of smoothed round trips that a timeout lasts.
const TIMEOUT_ROUND_TRIPS: u32 = 4;

/// Weight of the latest round trip in the smoothed one.
const SMOOTHING_FACTOR: f64 = 0.5;

/// Smoothed duration of a store transaction. The store handles transactions one after the other, so
/// a store that becomes slow must not receive the same transaction repeatedly.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RoundTripEstimate {
    smoothed: Duration,
}

impl RoundTripEstimate {
    /// Adds the duration of a transaction, or the time waited without an answer.
    pub(super) fn add(&mut self, took: Duration) {
        self.smoothed =
            self.smoothed.mul_f64(1.0 - SMOOTHING_FACTOR) + took.mul_f64(SMOOTHING_FACTOR);
    }

    /// Returns the timeout of the next transaction.
    pub(super) fn timeout(self) -> Duration {
        (self.smoothed * TIMEOUT_ROUND_TRIPS).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}

#[cfg(test)]
#[path = "round_trip/tests.rs"]
mod tests;
