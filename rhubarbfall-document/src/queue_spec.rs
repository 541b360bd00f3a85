use rhubarbfall_core::{QueueId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::QueueAccess;

/// A queue through which work reaches a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSpec {
    /// Identifier of the queue.
    pub id: QueueId,
    /// Service that runs the work.
    pub service: ServiceId,
    /// Who may submit work.
    pub access: QueueAccess,
    /// Maximum number of requests of one team that may wait at one entry.
    pub max_waiting_per_team: u32,
}
