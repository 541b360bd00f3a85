use rhubarbfall_core::{EntryId, FencingNumber, Incarnation};
use serde::{Deserialize, Serialize};

/// The content of a `zone-lease/<zone>` row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The entry that holds the lease.
    pub holder: EntryId,
    /// The process on that entry's VM.
    pub incarnation: Incarnation,
    /// The number that fences the writes of earlier holders.
    pub fencing: FencingNumber,
    /// The number of the write; it distinguishes renewals whose answers were lost.
    pub renewal: u64,
}
