use std::time::Duration;

use rhubarbfall_admission::RightsSettings;
use serde::Deserialize;

/// Settings of how entries lend and reclaim rights under the teams' upper limits.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Duration of a loan, from the borrower's request.
    pub loan_lease_ms: u64,
    /// Percentage of its own rights that an entry never lends.
    pub reserve_percent: u32,
    /// Minimum time between the proof that an entry is gone and the reuse of its rights; has to
    /// exceed the lag of the VM list.
    pub min_reclaim_delay_ms: u64,
    /// Maximum time of a request at an upstream, unless a service allows more.
    pub longest_request_ms: u64,
    /// Interval between reads of the ledger while this entry needs nothing from it.
    pub ledger_poll_ms: u64,
}

impl LimitSettings {
    /// Returns these settings in the form that the admission package uses.
    #[must_use]
    pub fn rights_settings(&self) -> RightsSettings {
        RightsSettings::default()
            .loan_lease(Duration::from_millis(self.loan_lease_ms))
            .longest_request(Duration::from_millis(self.longest_request_ms))
            .reserve_percent(self.reserve_percent)
            .min_reclaim_delay(Duration::from_millis(self.min_reclaim_delay_ms))
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            loan_lease_ms: 6_000,
            reserve_percent: 0,
            min_reclaim_delay_ms: 60_000,
            longest_request_ms: 0,
            ledger_poll_ms: 5_000,
        }
    }
}
