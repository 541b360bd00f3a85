//! Retries of failed attempts: which are retried, how often and after which delay.

mod backoff;
mod retry_budget;
mod retry_policy;

pub use backoff::Backoff;
pub use retry_budget::RetryBudget;
pub use retry_policy::{FailedAttempt, RetryDecision, RetryPolicy};
