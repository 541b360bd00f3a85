use std::sync::Arc;

use parking_lot::Mutex;
use serde::Serialize;

/// The guarantees that a development run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Guarantee {
    /// Maintenance takes down no more VMs at once than the availability budget allows.
    AvailabilityBudget,
    /// No VM runs requests of two pools at the same time.
    OnePoolPerVm,
    /// A withdrawn key is rejected within the bound.
    WorkOnlyForItsKey,
    /// No team runs more requests at once than its upper limit.
    UpperLimit,
    /// A completed request receives the complete answer to itself, not to another request.
    WholeOwnAnswer,
    /// No upstream starts a request that was answered as not run.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once.
    NonIdempotentAtMostOnce,
    /// An upstream receives no new work after it has announced that it leaves.
    LeavingUpstream,
    /// Reboots and planned stops interrupt no request.
    GracefulStop,
    /// An accepted change is in force at every entry within the bound and is not reverted.
    ConfigurationInForce,
}

/// All guarantees, in the order of the report.
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

/// The result of the checks of one guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Verdict {
    Held,
    Broken,
    NotChecked,
}

/// How often a guarantee was checked and how often the check failed.
#[derive(Debug, Clone, Serialize)]
pub(super) struct GuaranteeReport {
    #[serde(rename = "promise")]
    pub(super) guarantee: Guarantee,
    pub(super) verdict: Verdict,
    pub(super) checked: u64,
    pub(super) broken: u64,
}

/// Counts the checks of each guarantee and their failures; clones share the counts.
#[derive(Debug, Clone, Default)]
pub(super) struct Checks {
    counts: Arc<Mutex<[(u64, u64); ALL_GUARANTEES.len()]>>,
}

impl Checks {
    /// Adds `checked` checks, of which `broken` failed.
    pub(super) fn add(&self, guarantee: Guarantee, checked: u64, broken: u64) {
        let mut counts = self.counts.lock();
        let (total_checked, total_broken) = &mut counts[guarantee as usize];
        *total_checked += checked;
        *total_broken += broken;
    }

    /// Adds one check, which failed unless `holds`.
    pub(super) fn check(&self, guarantee: Guarantee, holds: bool) {
        self.add(guarantee, 1, u64::from(!holds));
    }

    /// Returns the counts and the verdict of each guarantee.
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
