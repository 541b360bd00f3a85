//! Rights to run requests under a team's upper limit.
//!
//! A right allows one running request of a team. Every entry owns a part of each team's limit,
//! recorded in the team's ledger row, and lends the slots that it does not use to other entries on
//! short leases.

mod ledger_plan;
mod ledger_row;
mod loan;
mod reclaim_watch;
#[expect(
    clippy::module_inception,
    reason = "each file is named after its main type"
)]
mod rights;
mod rights_settings;
mod rights_snapshot;
mod team_rights;

pub use ledger_row::{Grant, LedgerRow};
pub use loan::{LoanReply, LoanRequest};
pub use reclaim_watch::ReclaimWatch;
pub use rights::{OutgoingLoanRequest, Rights};
pub use rights_settings::{MAX_START_DELAY, RightsSettings};
pub use rights_snapshot::{RightsSnapshot, TeamRightsSnapshot};
