use std::time::Duration;

/// A loan that is not renewed for this long lapses.
const DEFAULT_LOAN_LEASE_MS: u64 = 6_000;
/// Three renewals fit into a lease, so that one lost message does not lapse it.
const RENEWALS_PER_LEASE: u32 = 3;
/// The most by which two monotonic clocks may differ in speed, in parts per thousand.
const CLOCK_DRIFT_PER_MILLE: u32 = 10;
/// The longest time that work may go on at an upstream when no service says otherwise.
const DEFAULT_LONGEST_REQUEST_MS: u64 = 30_000;
/// A lower bound of the time before a dead entry's grant is taken over; it covers the lag of the
/// platform's list of VMs.
const DEFAULT_MIN_RECLAIM_DELAY_MS: u64 = 60_000;

/// Work that a right was taken for is sent within this time or not at all.
pub const MAX_START_DELAY: Duration = Duration::from_secs(1);

/// How rights are lent and taken back.
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
    /// How long a borrower may start work against a loan after it asked for it.
    pub loan_lease: Duration,
    /// How long work may go on at an upstream after it was sent.
    pub longest_request: Duration,
    /// How much of its own grant an entry never lends.
    pub reserve_percent: u32,
    /// The least time between the proof of an entry's death and the reuse of its grant.
    pub min_reclaim_delay: Duration,
}

impl RightsSettings {
    /// Sets the lease of a loan.
    #[must_use]
    pub const fn loan_lease(mut self, loan_lease: Duration) -> Self {
        self.loan_lease = loan_lease;
        self
    }

    /// Sets the longest time of work at an upstream.
    #[must_use]
    pub const fn longest_request(mut self, longest_request: Duration) -> Self {
        self.longest_request = longest_request;
        self
    }

    /// Sets the part of an entry's own grant that it never lends.
    #[must_use]
    pub const fn reserve_percent(mut self, reserve_percent: u32) -> Self {
        self.reserve_percent = reserve_percent;
        self
    }

    /// Sets the least time before a dead entry's grant is reused.
    #[must_use]
    pub const fn min_reclaim_delay(mut self, min_reclaim_delay: Duration) -> Self {
        self.min_reclaim_delay = min_reclaim_delay;
        self
    }

    /// Returns the slots of a grant that are never lent.
    #[must_use]
    pub const fn reserved_slots(&self, owned_slots: u32) -> u32 {
        (owned_slots as u64 * self.reserve_percent as u64).div_ceil(100) as u32
    }

    /// Returns the time between two requests for the same loan.
    #[must_use]
    pub fn renew_interval(&self) -> Duration {
        self.loan_lease / RENEWALS_PER_LEASE
    }

    /// Returns how long a lender counts a loan as in use after its last answer.
    #[must_use]
    pub fn lender_hold(&self) -> Duration {
        let drift = self.loan_lease * CLOCK_DRIFT_PER_MILLE / 1_000;
        self.loan_lease + drift + MAX_START_DELAY + self.request_hold()
    }

    /// Returns how long a right stays taken when the end of its work is unknown.
    #[must_use]
    pub fn request_hold(&self) -> Duration {
        self.longest_request + self.longest_request * CLOCK_DRIFT_PER_MILLE / 1_000
    }

    /// Returns how long after an entry's death its grant stays untouched.
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
