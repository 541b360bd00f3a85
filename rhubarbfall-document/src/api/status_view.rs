use rhubarbfall_core::{AvailabilityZoneId, EntryId, Revision};
use serde::{Deserialize, Serialize};

/// Which revision an entry has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The entry.
    pub entry: EntryId,
    /// The revision in force; nothing while the entry has none or has not been heard.
    pub revision: Option<Revision>,
    /// How old this knowledge is.
    pub age_ms: Option<u64>,
}

/// Which entries have which revision in force, as one entry knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The entry that answers.
    pub entry: EntryId,
    /// The newest accepted revision; nothing when the table did not answer.
    pub newest: Option<Revision>,
    /// The entries, by availability zone and identifier.
    pub entries: Vec<EntryStatus>,
}
