use std::time::Instant;

use rhubarbfall_core::{Incarnation, Revision};

use super::IntentId;

/// What an entry says of its own state at a moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// The process that speaks.
    pub incarnation: Incarnation,
    /// A moment on the listener's clock at or before that at which the speaker said this.
    pub time: Instant,
    /// The highest revision that the speaker has seen.
    pub revision: Revision,
    /// Whether the speaker knows of every intent that its predecessors on the VM answered.
    pub is_settled: bool,
    /// The intents that the speaker holds, its own included, sorted.
    pub intents: Vec<IntentId>,
}
