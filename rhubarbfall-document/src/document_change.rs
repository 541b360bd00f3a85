use std::sync::Arc;

use crate::{DocumentDraft, KeyOwner};

/// A change of some sections that somebody asks for.
#[derive(Debug, Clone)]
pub struct DocumentChange {
    /// Who asks, by the key that came with the change.
    pub owner: KeyOwner,
    /// The identifier that the author gave the change; a repeat carries the same one.
    pub transaction_id: Arc<str>,
    /// The edited sections, with the versions that they were edited from.
    pub draft: DocumentDraft,
    /// The time of day in milliseconds since the Unix epoch, for the history.
    pub now_unix_ms: u64,
}
