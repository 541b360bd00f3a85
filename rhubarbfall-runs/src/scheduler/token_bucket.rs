use std::time::Duration;

use rhubarbfall_core::BootTime;

/// Admits events at a rate, with some at once.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    /// For how long the allowance of unused time lasts.
    burst: Duration,
    tokens: f64,
    updated_at: BootTime,
}

impl TokenBucket {
    /// Starts with a full allowance of `rate_per_s` for the time of `burst`.
    pub(super) fn new(rate_per_s: f64, burst: Duration, now: BootTime) -> Self {
        Self {
            burst,
            tokens: rate_per_s * burst.as_secs_f64(),
            updated_at: now,
        }
    }

    /// Counts an event and returns whether it is within `rate_per_s`.
    pub(super) fn admit(&mut self, rate_per_s: f64, now: BootTime) -> bool {
        let refill = rate_per_s * now.since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + refill).min(rate_per_s * self.burst.as_secs_f64());
        self.updated_at = now;
        let is_within = self.tokens >= 1.0;
        if is_within {
            self.tokens -= 1.0;
        }
        is_within
    }
}
