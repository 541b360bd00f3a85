//! Which attempts are repeated, how often and after how long.

mod backoff;
mod retry_budget;
mod retry_policy;

pub use backoff::Backoff;
pub use retry_budget::RetryBudget;
pub use retry_policy::{FailedAttempt, RetryDecision, RetryPolicy};
