use std::sync::Arc;

use rhubarbfall_core::{AvailabilityZoneId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// An upstream as known to one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Service that the upstream runs for this entry; `None` while it takes no work.
    pub service: Option<ServiceId>,
    /// Availability zone of the upstream.
    pub availability_zone: AvailabilityZoneId,
    /// `serving`, `drained`, `leaving`, `ejected` or `silent`; only `serving` ones take new work.
    pub state: Arc<str>,
    /// Number of slots that run work of this entry.
    pub running_slots: u32,
}
