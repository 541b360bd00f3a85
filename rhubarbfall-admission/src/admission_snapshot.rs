use rhubarbfall_core::{LiteMap, ServiceId};
use serde::Serialize;

use crate::rights::RightsSnapshot;
use crate::shares::ServiceDemand;

/// Queues and rights of one entry, for the process's dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AdmissionSnapshot {
    /// The requests that wait, over all services.
    pub waiting_requests: u32,
    /// The waiting and running work, by service.
    pub services: LiteMap<ServiceId, ServiceDemand>,
    /// The rights under upper limits.
    pub rights: RightsSnapshot,
}
