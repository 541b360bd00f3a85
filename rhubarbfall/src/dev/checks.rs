use std::sync::Arc;

use parking_lot::Mutex;
use serde::Serialize;

/// The promises that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Guarantee {
    AvailabilityBudget,
    OnePoolPerVm,
    WorkOnlyForItsKey,
    UpperLimit,
    WholeOwnAnswer,
    NotRunIsTrue,
    NonIdempotentAtMostOnce,
    LeavingUpstream,
    GracefulStop,
    ConfigurationInForce,
}

/// Every promise, in the order of the report.
const ALL_GUARANTEES: [Guarantee; 10] = [
    Guarantee::AvailabilityBudget,
    Guarantee::OnePoolPerVm,
    Guarantee::WorkOnlyForItsKey,
    Guarantee::UpperLimit,
    Guarantee::WholeOwnAnswer,
    Guarantee::NotRunIsTrue,
    Guarantee::NonIdempotentAtMostOnce,
    Guarantee::LeavingUpstream,
    Guarantee::GracefulStop,
    Guarantee::ConfigurationInForce,
];

/// Whether a promise held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Verdict {
    Held,
    Broken,
    NotChecked,
}

/// How often a promise was checked and broken.
#[derive(Debug, Clone, Serialize)]
pub(super) struct GuaranteeReport {
    #[serde(rename = "promise")]
    pub(super) guarantee: Guarantee,
    pub(super) verdict: Verdict,
    pub(super) checked: u64,
    pub(super) broken: u64,
}

/// Counts checks of promises; clones share the counts.
#[derive(Debug, Clone, Default)]
pub(super) struct Checks {
    counts: Arc<Mutex<[(u64, u64); ALL_GUARANTEES.len()]>>,
}

impl Checks {
    /// Adds checks of which some were broken.
    pub(super) fn add(&self, guarantee: Guarantee, checked: u64, broken: u64) {
        let mut counts = self.counts.lock();
        let (total_checked, total_broken) = &mut counts[guarantee as usize];
        *total_checked += checked;
        *total_broken += broken;
    }

    /// Adds one check.
    pub(super) fn check(&self, guarantee: Guarantee, holds: bool) {
        self.add(guarantee, 1, u64::from(!holds));
    }

    /// Returns the verdict on each promise.
    pub(super) fn report(&self) -> Vec<GuaranteeReport> {
        let counts = *self.counts.lock();
        ALL_GUARANTEES
            .iter()
            .zip(counts)
            .map(|(guarantee, (checked, broken))| GuaranteeReport {
                guarantee: *guarantee,
                verdict: match (checked, broken) {
                    (0, _) => Verdict::NotChecked,
                    (_, 0) => Verdict::Held,
                    _ => Verdict::Broken,
                },
                checked,
                broken,
            })
            .collect()
    }
}
