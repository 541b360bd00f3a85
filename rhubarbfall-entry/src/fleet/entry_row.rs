use rhubarbfall_core::{AvailabilityZoneId, EntryId, Generation, LiteMap, PoolId, VmId};
use rhubarbfall_fleet::PoolDemand;
use serde::{Deserialize, Serialize};

/// What one entry tells the holder of its zone's lease, in the row `fleet-entry/<entry>`.
///
/// An entry writes the row before it routes to any VM, so that the holder knows of every entry
/// that may.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryFleetRow {
    /// The entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: AvailabilityZoneId,
    /// When the process started, in milliseconds since the Unix epoch; a successor on the same VM
    /// has another value.
    pub started_unix_ms: u64,
    /// The VMs that drain and have nothing running from this entry, with the generation seen.
    pub confirmed: LiteMap<VmId, Generation>,
    /// What the entry's queues ask of each pool.
    pub demand: LiteMap<PoolId, PoolDemand>,
}
