use rhubarbfall_core::{Connections, PoolId, ServiceId, Slots};
use serde::{Deserialize, Serialize};

/// A service that the VMs of a pool run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Identifier of the service.
    pub id: ServiceId,
    /// Pool whose VMs run the service.
    pub pool: PoolId,
    /// Maximum number of requests that one upstream runs at once.
    pub slots_per_upstream: Slots,
    /// Maximum number of connections to one upstream.
    pub connections_per_upstream: Connections,
    /// Timeout for one answer of an upstream in milliseconds.
    pub answer_timeout_ms: u64,
}
