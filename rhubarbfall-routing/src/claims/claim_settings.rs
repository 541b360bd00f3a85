use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings for how claims are batched, how long callers wait for them and how long they are kept.
///
/// # Examples
///
/// ```
/// use rhubarbfall_routing::ClaimSettings;
///
/// let settings = ClaimSettings::default().window_ms(60_000);
/// assert_eq!(settings.window_ms, 60_000);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// How long a request stays claimed, in milliseconds.
    pub window_ms: u64,
    /// How long a request may wait for its claim, in milliseconds.
    pub max_wait_ms: u64,
    /// Mean interval between appends of one entry while claims are always waiting, in milliseconds.
    pub append_interval_ms: u64,
    /// Number of appends that an entry may make in a burst after it was idle.
    pub append_burst: u32,
    /// Maximum number of claims in one append.
    pub max_claims_per_append: usize,
    /// Maximum number of claims that wait at one entry; further ones end as unchecked.
    pub max_waiting_claims: usize,
    /// Minimum interval between trims of old segments by one entry, in milliseconds.
    pub trim_interval_ms: u64,
    /// Delay before the next attempt while the table is unreachable, in milliseconds.
    pub retry_interval_ms: u64,
}

impl ClaimSettings {
    /// Returns how long a request stays claimed.
    #[must_use]
    pub const fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }

    /// Returns how long a request may wait for its claim.
    #[must_use]
    pub const fn max_wait(&self) -> Duration {
        Duration::from_millis(self.max_wait_ms)
    }

    /// Sets how long a request stays claimed, in milliseconds.
    #[must_use]
    pub const fn window_ms(mut self, window_ms: u64) -> Self {
        self.window_ms = window_ms;
        self
    }

    /// Sets how long a request may wait for its claim, in milliseconds.
    #[must_use]
    pub const fn max_wait_ms(mut self, max_wait_ms: u64) -> Self {
        self.max_wait_ms = max_wait_ms;
        self
    }

    /// Sets the mean interval between appends of one entry, in milliseconds.
    #[must_use]
    pub const fn append_interval_ms(mut self, append_interval_ms: u64) -> Self {
        self.append_interval_ms = append_interval_ms;
        self
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            window_ms: 600_000,
            max_wait_ms: 2_000,
            append_interval_ms: 600,
            append_burst: 5,
            max_claims_per_append: 512,
            max_waiting_claims: 4_096,
            trim_interval_ms: 10_000,
            retry_interval_ms: 200,
        }
    }
}
