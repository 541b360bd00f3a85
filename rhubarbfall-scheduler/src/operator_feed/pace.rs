//! How long polls of the operator table wait.
//!
//! The load: a store that is slow, or that loses answers. An owner may start nothing without a recent
//! view of the operators' requests, and a view dates from when its poll was sent. A poll that the store
//! holds, or that ends before a slow answer, makes the view old.

use std::time::Duration;

use rhubarbfall_site::FEED_ANSWER_TIME;

/// How long the store may hold a poll before it answers without changes. The next poll follows
/// shortly afterwards, well within the time limit for applying a new configuration.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);

/// How long a slow store may hold a poll.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(100);

/// Answers that take this long beside the wait show a slow store.
const SLOW_ANSWER: Duration = Duration::from_millis(250);

/// The longest time that an answer may take: two polls of this length are within the age of a view
/// that allows starts, for a bound of 5 s.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// The waits of the next poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PollPace {
    /// How long the store may hold the poll.
    pub(super) wait: Duration,
    /// How long the answer may take beyond that.
    pub(super) answer_time: Duration,
}

impl Default for PollPace {
    fn default() -> Self {
        Self {
            wait: LONG_POLL_WAIT,
            answer_time: FEED_ANSWER_TIME,
        }
    }
}

impl PollPace {
    /// Returns the pace after a poll that was answered after `took`.
    pub(super) fn after_answer(self, took: Duration) -> Self {
        if took.saturating_sub(self.wait) < SLOW_ANSWER {
            return Self::default();
        }
        Self {
            wait: SHORT_POLL_WAIT,
            ..self
        }
    }

    /// Returns the pace after a poll without an answer.
    pub(super) fn after_failure(self) -> Self {
        Self {
            wait: SHORT_POLL_WAIT,
            answer_time: (self.answer_time * 2).min(MAX_ANSWER_TIME),
        }
    }
}

#[cfg(test)]
mod tests;
