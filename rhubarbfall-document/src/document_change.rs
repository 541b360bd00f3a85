use std::sync::Arc;

use crate::{DocumentDraft, KeyOwner};

/// A requested change of one or more sections.
#[derive(Debug, Clone)]
pub struct DocumentChange {
    /// Owner of the key that the change was submitted with.
    pub owner: KeyOwner,
    /// Identifier that the author chose for the change; a repeated submission has the same one.
    pub transaction_id: Arc<str>,
    /// Edited sections, with the versions that they were edited from.
    pub draft: DocumentDraft,
    /// Current time in milliseconds since the Unix epoch, for the history.
    pub now_unix_ms: u64,
}
