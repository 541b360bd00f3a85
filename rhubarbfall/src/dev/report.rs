use serde::Serialize;

use super::checks::{Guarantee, GuaranteeReport, Verdict};
use super::outcomes::OutcomeReport;
use super::share_sampler::ShareReport;

/// The results of a development run.
#[derive(Debug, Serialize)]
pub(super) struct DevReport {
    pub(super) example: &'static str,
    pub(super) run_for_s: u64,
    pub(super) requests: OutcomeReport,
    pub(super) shares: Vec<ShareReport>,
    #[serde(rename = "promises")]
    pub(super) guarantees: Vec<GuaranteeReport>,
}

impl DevReport {
    /// Returns whether no check of a guarantee failed; guarantees that were not checked pass.
    pub(super) fn is_clean(&self) -> bool {
        self.guarantees
            .iter()
            .all(|guarantee| guarantee.verdict != Verdict::Broken)
    }

    /// Prints the report as text.
    pub(super) fn print_text(&self) {
        println!("example {}, {} s of load", self.example, self.run_for_s);
        println!("\nrequests by result code:");
        for (result, count) in &self.requests.by_result {
            println!("  {result:<16} {count:>9}");
        }
        println!(
            "latency: p50 {:.1} ms, p99 {:.1} ms",
            self.requests.p50_ms, self.requests.p99_ms
        );
        println!("\nslots against fair share while a service was saturated:");
        for share in &self.shares {
            println!(
                "  {:<12} running {:>6.2}  fair {:>6.2}  ratio {:.3}",
                share.team, share.mean_running_slots, share.mean_fair_slots, share.ratio
            );
        }
        println!("\nguarantees, checked at callers and upstreams:");
        for guarantee in &self.guarantees {
            println!(
                "  {:<26} {:<12} checked {:>8}  broken {:>6}",
                name(guarantee.guarantee),
                verdict(guarantee.verdict),
                guarantee.checked,
                guarantee.broken
            );
        }
    }
}

const fn name(guarantee: Guarantee) -> &'static str {
    match guarantee {
        Guarantee::AvailabilityBudget => "availability budget",
        Guarantee::OnePoolPerVm => "one pool per VM",
        Guarantee::WorkOnlyForItsKey => "work only for its key",
        Guarantee::UpperLimit => "upper limit",
        Guarantee::WholeOwnAnswer => "whole own answer",
        Guarantee::NotRunIsTrue => "not run is true",
        Guarantee::NonIdempotentAtMostOnce => "non-idempotent once",
        Guarantee::LeavingUpstream => "leaving upstream",
        Guarantee::GracefulStop => "graceful stop",
        Guarantee::ConfigurationInForce => "configuration in force",
    }
}

const fn verdict(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Held => "held",
        Verdict::Broken => "BROKEN",
        Verdict::NotChecked => "not checked",
    }
}
