use serde::{Deserialize, Serialize};

use crate::{PoolSpec, QueueSpec, ServiceSpec, TeamSpec};

/// The operators' section: pools, services, queues and the limits of teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    /// The pools of VMs.
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolSpec>,
    /// The services that pools run.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSpec>,
    /// The queues through which work reaches services.
    #[serde(default, rename = "queue")]
    pub queues: Vec<QueueSpec>,
    /// The limits and shares of teams.
    #[serde(default, rename = "team")]
    pub teams: Vec<TeamSpec>,
}
