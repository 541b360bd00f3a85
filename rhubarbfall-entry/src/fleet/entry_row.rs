use rhubarbfall_core::{AvailabilityZoneId, EntryId, Generation, LiteMap, PoolId, VmId};
use rhubarbfall_fleet::PoolDemand;
use serde::{Deserialize, Serialize};

/// An entry's report to the holder of its zone's lease, in the row `fleet-entry/<entry>`.
///
/// An entry writes the row before it routes to any VM, so that the lease holder knows of every
/// entry that may route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryFleetRow {
    /// The entry that writes the row.
    pub entry: EntryId,
    /// The entry's availability zone.
    pub zone: AvailabilityZoneId,
    /// Start time of the process, in milliseconds since the Unix epoch; a successor on the same VM
    /// has another value.
    pub started_unix_ms: u64,
    /// The draining VMs that run no request of this entry, with the generation that the entry read.
    pub confirmed: LiteMap<VmId, Generation>,
    /// Demand of the entry's queues, by pool.
    pub demand: LiteMap<PoolId, PoolDemand>,
}
