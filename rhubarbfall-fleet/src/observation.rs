use rhubarbfall_core::{EntryId, FencingNumber, LiteMap, PoolId, VmId};

use crate::{Announcement, Budget, DrainConfirmation, Health, PoolDemand, Rows, VmRow};

/// The complete input of one round.
#[derive(Debug, Clone, Default)]
pub struct Observation {
    /// Fencing number of the zone's lease, while this process holds it.
    pub fence: Option<FencingNumber>,
    /// Rows as just read from the table.
    pub rows: Rows,
    /// The platform's announcements of all zones, sorted by VM and wave; `None` if the platform did
    /// not answer.
    pub announcements: Option<Vec<Announcement>>,
    /// Health of the zone's VMs.
    pub health: LiteMap<VmId, Health>,
    /// Entries of the zone that have a row in the table, sorted.
    pub entries: Vec<EntryId>,
    /// Drain confirmations that arrived since the last round.
    pub confirmations: Vec<DrainConfirmation>,
    /// Budgets of the document in force; a pool without one has been retired.
    pub budgets: LiteMap<PoolId, Budget>,
    /// Demand of the queues of all zones by pool.
    pub demand: LiteMap<PoolId, PoolDemand>,
    /// Demand of the zone's own queues by pool.
    pub zone_demand: LiteMap<PoolId, PoolDemand>,
    /// Rows for VMs of the zone that the platform lists and the table does not contain.
    pub new_vms: Vec<VmRow>,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}
