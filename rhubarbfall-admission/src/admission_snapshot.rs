use rhubarbfall_core::{LiteMap, ServiceId};
use serde::Serialize;

use crate::rights::RightsSnapshot;
use crate::shares::ServiceDemand;

/// The queues and rights of one entry in the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AdmissionSnapshot {
    /// The number of waiting requests over all services.
    pub waiting_requests: u32,
    /// Waiting and running requests by service; `capacity_slots` is always 0.
    pub services: LiteMap<ServiceId, ServiceDemand>,
    /// The rights under the teams' upper limits.
    pub rights: RightsSnapshot,
}
