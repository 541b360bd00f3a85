use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Upper bound on the delay before the first retry; it doubles with each further attempt.
const INITIAL_DELAY: Duration = Duration::from_millis(10);

/// Upper bound on the delay before any retry.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Exponential back-off with full jitter, from a seeded generator.
///
/// # Examples
///
/// ```
/// use rhubarbfall_routing::Backoff;
///
/// let mut first = Backoff::new(7);
/// let mut second = Backoff::new(7);
/// assert_eq!(first.delay(1), second.delay(1));
/// ```
#[derive(Debug)]
pub struct Backoff {
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates a back-off; equal seeds give equal delays.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next attempt, after `attempts` failed ones; at most 500 ms.
    pub fn delay(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let limit = INITIAL_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
        limit.mul_f64(self.random.random::<f64>())
    }
}
