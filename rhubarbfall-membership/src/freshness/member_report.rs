use std::time::Instant;

use rhubarbfall_core::{Incarnation, Revision};

use super::IntentId;

/// An entry's report of its configuration state at one point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// Incarnation of the reporting process.
    pub incarnation: Incarnation,
    /// Time on the receiver's clock, no later than the time at which the report was composed.
    pub time: Instant,
    /// Highest revision that the reporting process has seen.
    pub revision: Revision,
    /// Whether the reporting process knows of every intent that its predecessors on the VM
    /// answered.
    pub is_settled: bool,
    /// Intents that the reporting process holds, its own included, sorted.
    pub intents: Vec<IntentId>,
}
