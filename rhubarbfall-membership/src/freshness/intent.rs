use std::time::Instant;

use bytes::Bytes;
use rhubarbfall_core::{EntryId, Incarnation, Revision};

/// Identifies a change that an acceptor has announced.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct IntentId {
    /// The entry that wants to record the change.
    pub acceptor: EntryId,
    /// The process on that entry's VM.
    pub incarnation: Incarnation,
    /// The number of the change at that process.
    pub number: u64,
}

/// A change that an acceptor has announced and may have recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Intent {
    /// The identifier.
    pub id: IntentId,
    /// The revision that the change would have.
    pub revision: Revision,
    /// When this process first held the intent.
    pub held_since: Instant,
    /// The encoded change; who holds it admits only what both revisions allow.
    pub change: Bytes,
}
