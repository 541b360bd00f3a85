use rhubarbfall_core::{AvailabilityZoneId, EntryId, Revision};
use serde::{Deserialize, Serialize};

/// The revision in force at one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Availability zone of the entry.
    pub availability_zone: AvailabilityZoneId,
    /// Identifier of the entry.
    pub entry: EntryId,
    /// Revision in force; `None` if the entry has none or has not answered.
    pub revision: Option<Revision>,
    /// Age of this information in milliseconds; `None` if the entry has not answered.
    pub age_ms: Option<u64>,
}

/// The revisions in force at all entries, as known to one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// Entry that answers.
    pub entry: EntryId,
    /// Newest accepted revision; `None` if there is none or the table did not respond.
    pub newest: Option<Revision>,
    /// Status of every entry, sorted by availability zone and identifier.
    pub entries: Vec<EntryStatus>,
}
