use rhubarbfall_core::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::{PoolSpec, QueueSpec, ServiceSpec, TeamSpec};

/// The `fleet` section, which operators edit: pools, services, queues and the limits of teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    /// Upstreams that operators have drained; they receive no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drained_upstreams: Vec<UpstreamId>,
    /// Pools of VMs.
    #[serde(default, rename = "pool", skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<PoolSpec>,
    /// Services that the pools run.
    #[serde(default, rename = "service", skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceSpec>,
    /// Queues through which work reaches the services.
    #[serde(default, rename = "queue", skip_serializing_if = "Vec::is_empty")]
    pub queues: Vec<QueueSpec>,
    /// Limits and shares of the teams.
    #[serde(default, rename = "team", skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamSpec>,
}
