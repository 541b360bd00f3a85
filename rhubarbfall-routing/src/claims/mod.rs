//! Claims, which ensure that each non-idempotent request runs at most once.
//!
//! Entries share one log of segments in the platform's table. An entry appends a segment only after
//! it has read all earlier ones, on the condition that no other entry has appended since, so only
//! the first entry that writes a request's key may run the request.

mod claim_action;
mod claim_index;
mod claim_key;
mod claim_ledger;
mod claim_ledger_snapshot;
mod claim_log_base;
mod claim_log_view;
mod claim_segment;
mod claim_settings;
mod claim_verdict;

pub use claim_action::ClaimAction;
pub use claim_key::{ClaimKey, ParseClaimKeyError};
pub use claim_ledger::{ClaimLedger, CommitOutcome};
pub use claim_ledger_snapshot::ClaimLedgerSnapshot;
pub use claim_log_base::ClaimLogBase;
pub use claim_segment::ClaimSegment;
pub use claim_settings::ClaimSettings;
pub use claim_verdict::ClaimVerdict;
