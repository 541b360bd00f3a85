use std::time::Duration;

/// Default lease of a loan, after which it expires unless it is renewed.
const DEFAULT_LOAN_LEASE_MS: u64 = 6_000;
/// Three renewals fit into a lease, so that one lost message does not let the loan expire.
const RENEWALS_PER_LEASE: u32 = 3;
/// The maximum relative drift between two monotonic clocks, in parts per thousand.
const CLOCK_DRIFT_PER_MILLE: u32 = 10;
/// Default for the longest time that a request may run at an upstream; services may raise it.
const DEFAULT_LONGEST_REQUEST_MS: u64 = 30_000;
/// Default for the minimum delay before a dead entry's grant is reclaimed; it covers the lag of the
/// platform's list of VMs.
const DEFAULT_MIN_RECLAIM_DELAY_MS: u64 = 60_000;

/// The maximum delay between acquiring a right and sending the request to an upstream; a request
/// that is later is not sent.
pub const MAX_START_DELAY: Duration = Duration::from_secs(1);

/// Settings for lending and reclaiming rights.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rhubarbfall_admission::RightsSettings;
///
/// let settings = RightsSettings::default().reserve_percent(25);
/// assert_eq!(settings.reserved_slots(8), 2);
/// assert!(settings.lender_hold() > settings.loan_lease);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RightsSettings {
    /// How long after its request a borrower may start work on a loan.
    pub loan_lease: Duration,
    /// The longest time that a request may run at an upstream after it was sent.
    pub longest_request: Duration,
    /// The percentage of its own grant that an entry never lends.
    pub reserve_percent: u32,
    /// The minimum delay between the proof of an entry's death and the reclaim of its grant.
    pub min_reclaim_delay: Duration,
}

impl RightsSettings {
    /// Sets the lease of a loan.
    #[must_use]
    pub const fn loan_lease(mut self, loan_lease: Duration) -> Self {
        self.loan_lease = loan_lease;
        self
    }

    /// Sets the longest time that a request may run at an upstream.
    #[must_use]
    pub const fn longest_request(mut self, longest_request: Duration) -> Self {
        self.longest_request = longest_request;
        self
    }

    /// Sets the percentage of its own grant that an entry never lends.
    #[must_use]
    pub const fn reserve_percent(mut self, reserve_percent: u32) -> Self {
        self.reserve_percent = reserve_percent;
        self
    }

    /// Sets the minimum delay before a dead entry's grant is reclaimed.
    #[must_use]
    pub const fn min_reclaim_delay(mut self, min_reclaim_delay: Duration) -> Self {
        self.min_reclaim_delay = min_reclaim_delay;
        self
    }

    /// Returns the slots of a grant of `owned_slots` that are never lent, rounded up.
    #[must_use]
    pub const fn reserved_slots(&self, owned_slots: u32) -> u32 {
        (owned_slots as u64 * self.reserve_percent as u64).div_ceil(100) as u32
    }

    /// Returns the interval between two renewals of the same loan.
    #[must_use]
    pub fn renew_interval(&self) -> Duration {
        self.loan_lease / RENEWALS_PER_LEASE
    }

    /// Returns how long a lender counts a loan as in use after its last reply: the lease with clock
    /// drift, the start delay and the time that the last request may run.
    #[must_use]
    pub fn lender_hold(&self) -> Duration {
        let drift = self.loan_lease * CLOCK_DRIFT_PER_MILLE / 1_000;
        self.loan_lease + drift + MAX_START_DELAY + self.request_hold()
    }

    /// Returns how long a right is held when the completion of its request is unknown: the longest
    /// request with clock drift.
    #[must_use]
    pub fn request_hold(&self) -> Duration {
        self.longest_request + self.longest_request * CLOCK_DRIFT_PER_MILLE / 1_000
    }

    /// Returns the delay between the proof of an entry's death and the reclaim of its grant: at
    /// least [`RightsSettings::lender_hold`].
    #[must_use]
    pub fn reclaim_delay(&self) -> Duration {
        self.min_reclaim_delay.max(self.lender_hold())
    }
}

impl Default for RightsSettings {
    fn default() -> Self {
        Self {
            loan_lease: Duration::from_millis(DEFAULT_LOAN_LEASE_MS),
            longest_request: Duration::from_millis(DEFAULT_LONGEST_REQUEST_MS),
            reserve_percent: 0,
            min_reclaim_delay: Duration::from_millis(DEFAULT_MIN_RECLAIM_DELAY_MS),
        }
    }
}
