use rhubarbfall_core::{QueueId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::QueueAccess;

/// A queue through which work reaches a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSpec {
    /// The queue's identifier.
    pub id: QueueId,
    /// The service that runs the work.
    pub service: ServiceId,
    /// Who may hand in work.
    pub access: QueueAccess,
    /// How many requests of one team may wait at one entry.
    pub max_waiting_per_team: u32,
}
