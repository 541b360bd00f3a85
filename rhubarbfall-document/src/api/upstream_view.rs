use std::sync::Arc;

use rhubarbfall_core::{AvailabilityZoneId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// An upstream as one entry knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The upstream.
    pub id: UpstreamId,
    /// The service that it serves for this entry; nothing while it takes no work.
    pub service: Option<ServiceId>,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// `serving`, `drained`, `leaving`, `ejected` or `silent`; only the first takes new work.
    pub state: Arc<str>,
    /// The slots that run work of this entry.
    pub running_slots: u32,
}
