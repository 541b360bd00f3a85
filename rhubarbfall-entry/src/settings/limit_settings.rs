use std::time::Duration;

use rhubarbfall_admission::RightsSettings;
use serde::Deserialize;

/// How rights under upper limits are lent and taken back.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// How long a borrowed right lasts after it was asked for.
    pub loan_lease_ms: u64,
    /// How much of its own rights an entry never lends.
    pub reserve_percent: u32,
    /// The least time between the proof that an entry is gone and the reuse of its rights; longer
    /// than the list of VMs lags.
    pub min_reclaim_delay_ms: u64,
    /// How long the longest request may take at an upstream, where no service allows more.
    pub longest_request_ms: u64,
    /// How often the ledger is read when nothing is needed of it.
    pub ledger_poll_ms: u64,
}

impl LimitSettings {
    /// Returns the settings of the rights.
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
