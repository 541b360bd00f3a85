use std::sync::Arc;

use parking_lot::Mutex;
use serde::Serialize;

/// The promises that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Promise {
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
const ALL: [Promise; 10] = [
    Promise::AvailabilityBudget,
    Promise::OnePoolPerVm,
    Promise::WorkOnlyForItsKey,
    Promise::UpperLimit,
    Promise::WholeOwnAnswer,
    Promise::NotRunIsTrue,
    Promise::NonIdempotentAtMostOnce,
    Promise::LeavingUpstream,
    Promise::GracefulStop,
    Promise::ConfigurationInForce,
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
pub(super) struct PromiseReport {
    pub(super) promise: Promise,
    pub(super) verdict: Verdict,
    pub(super) checked: u64,
    pub(super) broken: u64,
}

/// Counts checks of promises; clones share the counts.
#[derive(Debug, Clone, Default)]
pub(super) struct Checks {
    counts: Arc<Mutex<[(u64, u64); ALL.len()]>>,
}

impl Checks {
    /// Adds checks of which some were broken.
    pub(super) fn add(&self, promise: Promise, checked: u64, broken: u64) {
        let mut counts = self.counts.lock();
        let (total_checked, total_broken) = &mut counts[promise as usize];
        *total_checked += checked;
        *total_broken += broken;
    }

    /// Adds one check.
    pub(super) fn check(&self, promise: Promise, holds: bool) {
        self.add(promise, 1, u64::from(!holds));
    }

    /// Returns the verdict on each promise.
    pub(super) fn report(&self) -> Vec<PromiseReport> {
        let counts = *self.counts.lock();
        ALL.iter()
            .zip(counts)
            .map(|(promise, (checked, broken))| PromiseReport {
                promise: *promise,
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
