use std::time::Duration;

/// Time limits of the membership protocol and of the configuration's freshness.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rhubarbfall_membership::MembershipConfig;
///
/// let config = MembershipConfig::new().max_evidence_age(Duration::from_secs(4));
/// assert_eq!(config.max_evidence_age, Duration::from_secs(4));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Maximum age of the evidence that the configuration in force is the newest; keyed work stops
    /// once the evidence is older.
    pub max_evidence_age: Duration,
    /// Age of the newest table read, own or relayed, at which an entry reads the table itself.
    pub max_read_age: Duration,
    /// Initial back-off between table reads of one entry while the table does not answer.
    pub min_poll_backoff: Duration,
    /// Maximum back-off between table reads of one entry while the table does not answer.
    pub max_poll_backoff: Duration,
    /// Interval between two heartbeats to one peer; doubled while table reads are recent.
    pub heartbeat_interval: Duration,
    /// How long an acceptor waits for all answers to an intent before it decides on those that it
    /// has received.
    pub intent_answer_timeout: Duration,
    /// How long answers to an intent are valid; a commit has to start within this time.
    pub intent_lifetime: Duration,
}

impl MembershipConfig {
    /// Creates a configuration with the default times.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_evidence_age: Duration::from_secs(5),
            max_read_age: Duration::from_millis(1500),
            min_poll_backoff: Duration::from_millis(500),
            max_poll_backoff: Duration::from_secs(4),
            heartbeat_interval: Duration::from_millis(500),
            intent_answer_timeout: Duration::from_millis(500),
            intent_lifetime: Duration::from_secs(10),
        }
    }

    /// Sets the maximum age of the evidence on which keyed work is admitted.
    #[must_use]
    pub const fn max_evidence_age(mut self, max_evidence_age: Duration) -> Self {
        self.max_evidence_age = max_evidence_age;
        self
    }

    /// Returns the time after a process's start by which every intent that its predecessor on the
    /// VM answered has been committed or abandoned.
    #[must_use]
    pub const fn settling_time(&self) -> Duration {
        // Half as long again covers a commit that starts at the end of the lifetime.
        self.intent_lifetime
            .saturating_mul(3)
            .checked_div(2)
            .expect("the divisor is not zero")
    }
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self::new()
    }
}
