use rhubarbfall_core::{EntryId, FencingNumber, LiteMap, PoolId, VmId};

use crate::{Announcement, Budget, DrainConfirmation, Health, PoolDemand, Rows, VmRow};

/// Everything that one round is decided on.
#[derive(Debug, Clone, Default)]
pub struct Observation {
    /// The fencing number of the zone's lease, while this process holds it.
    pub fence: Option<FencingNumber>,
    /// The rows as just read from the table.
    pub rows: Rows,
    /// The platform's announcements, of all zones, sorted by VM and wave; none when the platform
    /// did not answer.
    pub announcements: Option<Vec<Announcement>>,
    /// The health of the zone's VMs.
    pub health: LiteMap<VmId, Health>,
    /// The entries of the zone that the table names, sorted.
    pub entries: Vec<EntryId>,
    /// Confirmations that arrived since the last round.
    pub confirmations: Vec<DrainConfirmation>,
    /// The budgets of the document in force; a pool that is missing has been retired.
    pub budgets: LiteMap<PoolId, Budget>,
    /// What the queues of all zones ask of each pool.
    pub demand: LiteMap<PoolId, PoolDemand>,
    /// What the zone's own queues ask of each pool.
    pub zone_demand: LiteMap<PoolId, PoolDemand>,
    /// VMs of the zone that the platform lists and the table does not.
    pub new_vms: Vec<VmRow>,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}
