use std::time::Duration;

use rhubarbfall_core::BootTime;

/// How many seconds of its rate a customer may hand in at once.
const BURST_S: f64 = 1.0;

/// A customer's submissions against the rate that its weight allows.
#[derive(Debug, Clone, Copy)]
pub(super) struct ArrivalRate {
    allowance: f64,
    updated_at: BootTime,
}

impl ArrivalRate {
    /// Starts with a full allowance.
    pub(super) fn new(weight: u32, now: BootTime) -> Self {
        Self {
            allowance: f64::from(weight) * BURST_S,
            updated_at: now,
        }
    }

    /// Counts a submission and returns whether it is within the rate of `weight` a second.
    pub(super) fn admit(&mut self, weight: u32, now: BootTime) -> bool {
        let rate = f64::from(weight);
        let passed: Duration = now.since(self.updated_at);
        self.allowance = (self.allowance + rate * passed.as_secs_f64()).min(rate * BURST_S);
        self.updated_at = now;
        let is_within = self.allowance >= 1.0;
        if is_within {
            self.allowance -= 1.0;
        }
        is_within
    }
}
