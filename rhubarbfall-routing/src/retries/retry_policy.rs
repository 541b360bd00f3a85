use std::time::{Duration, Instant};

use rhubarbfall_core::{Execution, ResultCode};

use super::{Backoff, RetryBudget};

/// How many attempts one request gets at most.
const MAX_ATTEMPTS: u32 = 3;

/// An attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How many attempts were made, this one included.
    pub attempts: u32,
    /// Why it failed.
    pub code: ResultCode,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// When the answer is needed.
    pub deadline: Instant,
}

/// What follows an attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt after a delay, at another upstream if there is one.
    Retry(Duration),
    /// Answer with the attempt's own code.
    GiveUp,
}

/// Decides on repeats for one service.
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
    /// Creates the policy of a service.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            budget: RetryBudget::new(),
            backoff: Backoff::new(seed),
        }
    }

    /// Counts a request that succeeded.
    pub const fn on_success(&mut self) {
        self.budget.on_success();
    }

    /// Decides what follows an attempt that failed.
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

/// Returns whether the failure is one upstream's, so that another may do better.
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
