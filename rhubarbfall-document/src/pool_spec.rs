use rhubarbfall_core::{PoolId, VmCount};
use serde::{Deserialize, Serialize};

/// A pool of VMs with its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Identifier of the pool.
    pub id: PoolId,
    /// Availability budget: the maximum number of VMs that may be unavailable at once, planned and
    /// unplanned together, across all availability zones.
    pub max_unavailable_vms: VmCount,
    /// Minimum number of VMs that the pool keeps when it shrinks.
    #[serde(default)]
    pub min_vms: VmCount,
}
