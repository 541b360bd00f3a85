use std::time::Duration;

use rhubarbfall_core::BootTime;

/// A token bucket that limits the rate of events and allows a burst.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    /// The capacity of the bucket, as a duration at the rate.
    burst: Duration,
    tokens: f64,
    updated_at: BootTime,
}

impl TokenBucket {
    /// Creates a full bucket for `rate_per_s` with a capacity of `burst` at that rate.
    pub(super) fn new(rate_per_s: f64, burst: Duration, now: BootTime) -> Self {
        Self {
            burst,
            tokens: rate_per_s * burst.as_secs_f64(),
            updated_at: now,
        }
    }

    /// Takes a token and returns whether one was available, after refilling at `rate_per_s`.
    pub(super) fn admit(&mut self, rate_per_s: f64, now: BootTime) -> bool {
        self.tokens = self.tokens_at(rate_per_s, now);
        self.updated_at = now;
        let is_within = self.tokens >= 1.0;
        if is_within {
            self.tokens -= 1.0;
        }
        is_within
    }

    /// Returns whether a token is available, after refilling at `rate_per_s`, without taking it.
    pub(super) fn has_token(&self, rate_per_s: f64, now: BootTime) -> bool {
        self.tokens_at(rate_per_s, now) >= 1.0
    }

    fn tokens_at(&self, rate_per_s: f64, now: BootTime) -> f64 {
        let refill = rate_per_s * now.since(self.updated_at).as_secs_f64();
        (self.tokens + refill).min(rate_per_s * self.burst.as_secs_f64())
    }
}
