use std::time::{Duration, Instant};

use rhubarbfall_core::{Execution, ResultCode};

use super::{Backoff, RetryBudget};

/// Maximum number of attempts per request, the first one included.
const MAX_ATTEMPTS: u32 = 3;

/// A failed attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Number of attempts so far, this one included.
    pub attempts: u32,
    /// Result code of the failure.
    pub code: ResultCode,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this delay, at another upstream if there is one.
    Retry(Duration),
    /// Respond with the result code of the attempt.
    GiveUp,
}

/// Decides on retries for one service.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rhubarbfall_core::ResultCode;
/// use rhubarbfall_routing::{FailedAttempt, RetryDecision, RetryPolicy};
///
/// let now = Instant::now();
/// let mut policy = RetryPolicy::new(1);
/// let attempt = FailedAttempt {
///     attempts: 1,
///     code: ResultCode::UpstreamSilent,
///     is_idempotent: false,
///     deadline: now + Duration::from_secs(1),
/// };
/// assert_eq!(policy.decide(now, attempt), RetryDecision::GiveUp);
/// ```
#[derive(Debug)]
pub struct RetryPolicy {
    budget: RetryBudget,
    backoff: Backoff,
}

impl RetryPolicy {
    /// Creates the policy of a service; `seed` determines the jitter of the back-off.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            budget: RetryBudget::new(),
            backoff: Backoff::new(seed),
        }
    }

    /// Credits a successful request to the retry budget.
    pub const fn on_success(&mut self) {
        self.budget.on_success();
    }

    /// Decides whether a failed attempt is retried; one that may have run is retried only if the
    /// request is idempotent.
    pub fn decide(&mut self, now: Instant, attempt: FailedAttempt) -> RetryDecision {
        let may_retry = match attempt.code.execution() {
            Execution::NotRun => is_upstream_failure(attempt.code),
            Execution::Unknown => attempt.is_idempotent && is_upstream_failure(attempt.code),
            Execution::Ran => false,
        };
        if !may_retry || attempt.attempts >= MAX_ATTEMPTS {
            return RetryDecision::GiveUp;
        }
        let delay = self.backoff.delay(attempt.attempts);
        if now + delay >= attempt.deadline || !self.budget.try_spend() {
            return RetryDecision::GiveUp;
        }
        RetryDecision::Retry(delay)
    }
}

/// Returns whether the failure is specific to one upstream, so that another one may succeed.
const fn is_upstream_failure(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::ConnectFailed
            | ResultCode::UpstreamRefused
            | ResultCode::UpstreamSilent
            | ResultCode::UpstreamConnectionLost
            | ResultCode::AnswerCut
            | ResultCode::AnswerMismatch
    )
}
