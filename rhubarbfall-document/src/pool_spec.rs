use rhubarbfall_core::{PoolId, VmCount};
use serde::{Deserialize, Serialize};

/// A pool of VMs with its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The pool's identifier.
    pub id: PoolId,
    /// The availability budget: how many VMs may be unavailable at once, planned and unplanned
    /// together, over all availability zones.
    pub max_unavailable_vms: VmCount,
    /// The fewest VMs that the pool keeps when it shrinks.
    #[serde(default)]
    pub min_vms: VmCount,
}
