use rhubarbfall_core::{AvailabilityZoneId, LiteMap, PoolId};

use crate::{Announcement, FleetTimings, PoolDemand, Rows};

/// The state from which the maintenance of one zone's VMs is planned.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Zone whose VMs are planned.
    pub zone: &'a AvailabilityZoneId,
    /// Rows of the table.
    pub rows: &'a Rows,
    /// The platform's announcements of all zones, sorted by VM and wave.
    pub announcements: &'a [Announcement],
    /// Demand of the queues of all zones by pool.
    pub demand: &'a LiteMap<PoolId, PoolDemand>,
    /// Time limits of drains, reboots and moves.
    pub timings: &'a FleetTimings,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}
