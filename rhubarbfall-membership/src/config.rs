use std::time::Duration;

/// The times that bound how old a process's knowledge may be.
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
    /// How long keyed work may go on after the moment at which the configuration was proved newest.
    pub max_evidence_age: Duration,
    /// The age of the newest table read, own or relayed, at which an entry reads the table itself.
    pub max_read_age: Duration,
    /// The shortest pause between table reads of one entry while the table does not answer.
    pub min_poll_backoff: Duration,
    /// The longest pause between table reads of one entry while the table does not answer.
    pub max_poll_backoff: Duration,
    /// The time between two heartbeats to one peer.
    pub heartbeat_interval: Duration,
    /// How long an acceptor waits for answers to an intent before it goes on with those it has.
    pub intent_answer_timeout: Duration,
    /// How long answers to an intent hold; a commit starts before they end.
    pub intent_lifetime: Duration,
}

impl MembershipConfig {
    /// Creates a configuration with the usual times.
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

    /// Sets how long keyed work may go on without newer evidence.
    #[must_use]
    pub const fn max_evidence_age(mut self, max_evidence_age: Duration) -> Self {
        self.max_evidence_age = max_evidence_age;
        self
    }

    /// Returns how long after its start a process knows of every intent that its predecessor
    /// answered: those have been committed or given up.
    #[must_use]
    pub const fn settling_time(&self) -> Duration {
        // Half as long again covers a commit that started at the last moment.
        self.intent_lifetime
            .saturating_mul(3)
            .checked_div(2)
            .expect("two is not zero")
    }
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self::new()
    }
}
