use rhubarbfall_core::{Connections, PoolId, ServiceId, Slots};
use serde::{Deserialize, Serialize};

/// A service that the VMs of a pool run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The service's identifier.
    pub id: ServiceId,
    /// The pool whose VMs run the service.
    pub pool: PoolId,
    /// How many requests one upstream runs at once.
    pub slots_per_upstream: Slots,
    /// How many connections one upstream takes.
    pub connections_per_upstream: Connections,
    /// How long an upstream may take for one answer.
    pub answer_timeout_ms: u64,
}
