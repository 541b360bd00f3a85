use rhubarbfall_core::{AvailabilityZoneId, LiteMap, PoolId};

use crate::{Announcement, FleetTimings, PoolDemand, Rows};

/// What a plan of the waves is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The zone whose VMs are planned.
    pub zone: &'a AvailabilityZoneId,
    /// The rows of the table.
    pub rows: &'a Rows,
    /// The platform's announcements, sorted by VM and wave.
    pub announcements: &'a [Announcement],
    /// What the queues ask of each pool.
    pub demand: &'a LiteMap<PoolId, PoolDemand>,
    /// How long steps may take.
    pub timings: &'a FleetTimings,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}
