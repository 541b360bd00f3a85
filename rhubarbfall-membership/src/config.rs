use std::time::Duration;

/// Time limits of the membership protocol, and of the proof that the fleet configuration in force
/// at an entry is the newest.
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
    /// Maximum age of the evidence that the configuration in force is the newest. Once the evidence
    /// is older, requests with an API key (keyed work) are not admitted.
    pub max_evidence_age: Duration,
    /// Age of the newest read of the configuration's revision, by the entry itself or relayed by a
    /// peer, at which the entry reads the revision from the table again.
    pub max_read_age: Duration,
    /// Initial back-off between an entry's reads of the table while they fail.
    pub min_poll_backoff: Duration,
    /// Maximum back-off between an entry's reads of the table while they fail.
    pub max_poll_backoff: Duration,
    /// Interval between two heartbeats to one peer; doubled while the newest read of the revision
    /// is younger than twice `max_read_age`.
    pub heartbeat_interval: Duration,
    /// How long an entry that has announced a configuration change (an intent) waits for every
    /// member's answer before it decides on the answers received.
    pub intent_answer_timeout: Duration,
    /// How long the answers to an announced change are valid; its commit has to start within this
    /// time.
    pub intent_lifetime: Duration,
}

impl MembershipConfig {
    /// Creates the default time limits.
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

    /// Returns the time after the start of a process by which every change whose announcement the
    /// previous process on the VM answered has been committed or abandoned.
    #[must_use]
    pub const fn settling_time(&self) -> Duration {
        // The additional half of the lifetime covers a commit that starts just before its end.
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
