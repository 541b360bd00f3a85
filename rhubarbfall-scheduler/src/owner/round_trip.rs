use std::time::Duration;

/// The shortest time-out: several times a usual round trip, and short against the time after which
/// others take over.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest time-out: four times the slowest transaction that has been seen.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_200);

/// How many round trips a time-out lasts.
const TIMEOUT_ROUND_TRIPS: u32 = 4;

/// The part that one round trip has in the smoothed one.
const SMOOTHING_FACTOR: f64 = 0.5;

/// How long the store takes for a transaction, smoothed. A store that turns slow must not be sent
/// the same transaction again and again, since it takes them one after the other.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RoundTripEstimate {
    smoothed: Duration,
}

impl RoundTripEstimate {
    /// Takes how long an answer took, or for how long none came.
    pub(super) fn add(&mut self, took: Duration) {
        self.smoothed =
            self.smoothed.mul_f64(1.0 - SMOOTHING_FACTOR) + took.mul_f64(SMOOTHING_FACTOR);
    }

    /// Returns how long to wait for an answer.
    pub(super) fn timeout(self) -> Duration {
        (self.smoothed * TIMEOUT_ROUND_TRIPS).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}

#[cfg(test)]
#[path = "round_trip/tests.rs"]
mod tests;
