//! Scheduling of an entry's own table reads.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::MembershipConfig;

/// Schedules an entry's reads of the revision row.
///
/// A read that a peer relays counts like an own one, so that one entry of a zone reads for all.
/// While the table does not answer, the back-off grows exponentially with jitter, which spreads the
/// load on the table when it recovers.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use rhubarbfall_membership::{MembershipConfig, TablePoll};
///
/// let now = Instant::now();
/// let poll = TablePoll::new(MembershipConfig::new(), 7, now);
/// assert!(poll.is_due(now, None));
/// assert!(!poll.is_due(now, Some(now)));
/// ```
#[derive(Debug)]
pub struct TablePoll {
    config: MembershipConfig,
    random: ChaCha8Rng,
    backoff: Duration,
    not_before: Instant,
    jitter: Duration,
    is_reading: bool,
}

impl TablePoll {
    /// Creates the schedule of a process that has read nothing yet; `seed` determines the jitter.
    #[must_use]
    pub fn new(config: MembershipConfig, seed: u64, now: Instant) -> Self {
        Self {
            config,
            random: ChaCha8Rng::seed_from_u64(seed),
            backoff: config.min_poll_backoff,
            not_before: now,
            jitter: Duration::ZERO,
            is_reading: false,
        }
    }

    /// Returns whether a read is due, given the start of the newest read, own or relayed.
    #[must_use]
    pub fn is_due(&self, now: Instant, newest_read: Option<Instant>) -> bool {
        if self.is_reading || now < self.not_before {
            return false;
        }
        newest_read.is_none_or(|began| now >= began + self.config.max_read_age + self.jitter)
    }

    /// Records that a read was sent; no other is due before its outcome.
    pub const fn begin(&mut self) {
        self.is_reading = true;
    }

    /// Records that the table answered, which resets the back-off.
    pub fn succeed(&mut self) {
        self.is_reading = false;
        self.backoff = self.config.min_poll_backoff;
        // Without jitter, entries that share one relayed read would all read at the same time.
        let max_jitter = self.config.max_read_age;
        self.jitter = max_jitter.mul_f64(self.random.random_range(0.0..1.0));
    }

    /// Records that the table did not answer and doubles the back-off up to its maximum.
    pub fn fail(&mut self, now: Instant) {
        self.is_reading = false;
        self.not_before = now + self.backoff.mul_f64(self.random.random_range(0.5..1.5));
        self.backoff = (self.backoff * 2).min(self.config.max_poll_backoff);
    }
}
