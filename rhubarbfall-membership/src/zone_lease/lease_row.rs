use rhubarbfall_core::{EntryId, FencingNumber, Incarnation};
use serde::{Deserialize, Serialize};

/// Content of a `zone-lease/<zone>` row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Entry that holds the lease.
    pub holder: EntryId,
    /// Incarnation of the process on that entry's VM.
    pub incarnation: Incarnation,
    /// Fencing number, which rises with each acquisition, so that writes of earlier holders are
    /// rejected.
    pub fencing: FencingNumber,
    /// Sequence number of the write, which identifies a renewal whose answer was lost.
    pub renewal: u64,
}
