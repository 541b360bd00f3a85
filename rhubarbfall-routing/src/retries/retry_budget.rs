use serde::Serialize;

/// Tokens that a success adds; a retry costs one token.
const TOKENS_PER_SUCCESS: f64 = 0.1;

/// Capacity in tokens: a service with little traffic can still retry a few times, and a busy one
/// cannot retry in bulk.
const MAX_TOKENS: f64 = 10.0;

/// Limits the retries of one service to a fraction of its recent successes.
///
/// # Examples
///
/// ```
/// use rhubarbfall_routing::RetryBudget;
///
/// let mut budget = RetryBudget::new();
/// let retries = (0..100).filter(|_| budget.try_spend()).count();
/// assert_eq!(retries, 10);
/// (0..20).for_each(|_| budget.on_success());
/// assert!(budget.try_spend());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self { tokens: MAX_TOKENS }
    }

    /// Adds the tokens of a successful request, up to the capacity.
    pub const fn on_success(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Spends the token of one retry; returns whether one was available.
    #[must_use]
    pub const fn try_spend(&mut self) -> bool {
        let is_affordable = self.tokens >= 1.0;
        if is_affordable {
            self.tokens -= 1.0;
        }
        is_affordable
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
