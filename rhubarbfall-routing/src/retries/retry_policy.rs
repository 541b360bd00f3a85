use std::time::{Duration, Instant};

use rhubarbfall_core::{Execution, ResultCode};

use super::{Backoff, RetryBudget};

/// How many attempts one request gets at most.
const MAX_ATTEMPTS: u32 = 3;

/// An attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
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
    /// Another attempt after a pause, at another upstream if there is one.
    Repeat(Duration),
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
/// use rhubarbfall_routing::{Attempt, RetryDecision, RetryPolicy};
///
/// let now = Instant::now();
/// let mut policy = RetryPolicy::new(1);
/// let attempt = Attempt {
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
    pub fn decide(&mut self, now: Instant, attempt: Attempt) -> RetryDecision {
        let may_repeat = match attempt.code.execution() {
            Execution::NotRun => is_of_upstream(attempt.code),
            Execution::Unknown => attempt.is_idempotent && is_of_upstream(attempt.code),
            Execution::Ran => false,
        };
        if !may_repeat || attempt.attempts >= MAX_ATTEMPTS {
            return RetryDecision::GiveUp;
        }
        let pause = self.backoff.pause(attempt.attempts);
        if now + pause >= attempt.deadline || !self.budget.try_spend() {
            return RetryDecision::GiveUp;
        }
        RetryDecision::Repeat(pause)
    }
}

/// Returns whether the failure is one upstream's, so that another may do better.
const fn is_of_upstream(code: ResultCode) -> bool {
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
