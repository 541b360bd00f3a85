use std::time::Instant;

use bytes::Bytes;
use rhubarbfall_core::{EntryId, Incarnation, Revision};

/// Identifier of a change that an acceptor has announced.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct IntentId {
    /// Entry that intends to commit the change.
    pub acceptor: EntryId,
    /// Incarnation of the process on that entry's VM.
    pub incarnation: Incarnation,
    /// Sequence number of the change within that process.
    pub number: u64,
}

/// Change that an acceptor has announced and may have committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Intent {
    /// Identifier of the announced change.
    pub id: IntentId,
    /// Revision that results if the change is committed.
    pub revision: Revision,
    /// Time on this process's clock at which it first held the intent.
    pub held_since: Instant,
    /// Encoded revocations; a holder admits only what the old and the new revision both allow.
    pub change: Bytes,
}
