//! When an entry reads the table itself.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::MembershipConfig;

/// Decides when an entry reads the revision row.
///
/// A read that a peer relays is as good as an own one, so that one entry of a zone reads for all.
/// While the table does not answer, the pauses grow with jitter, so that recovery spreads its load.
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
    /// Creates the state of a process that has read nothing yet.
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

    /// Returns whether to read now, given when the newest read, own or relayed, began.
    #[must_use]
    pub fn is_due(&self, now: Instant, newest_read: Option<Instant>) -> bool {
        if self.is_reading || now < self.not_before {
            return false;
        }
        newest_read.is_none_or(|began| now >= began + self.config.max_read_age + self.jitter)
    }

    /// Records that a read was sent.
    pub const fn begin(&mut self) {
        self.is_reading = true;
    }

    /// Records that the table answered.
    pub fn succeed(&mut self) {
        self.is_reading = false;
        self.backoff = self.config.min_poll_backoff;
        // Entries that share one relayed read would otherwise all read at the same moment.
        let max_jitter = self.config.max_read_age;
        self.jitter = max_jitter.mul_f64(self.random.random_range(0.0..1.0));
    }

    /// Records that the table did not answer.
    pub fn fail(&mut self, now: Instant) {
        self.is_reading = false;
        self.not_before = now + self.backoff.mul_f64(self.random.random_range(0.5..1.5));
        self.backoff = (self.backoff * 2).min(self.config.max_poll_backoff);
    }
}
