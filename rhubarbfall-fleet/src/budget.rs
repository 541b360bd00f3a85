use quick_error::quick_error;
use rhubarbfall_core::{PoolId, Revision, VmCount};
use serde::{Deserialize, Serialize};

/// A pool's availability budget and the revision of the document that it comes from.
///
/// The row of a pool keeps the newest one, so that holders with different revisions of the
/// document grant against the same figure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// How many VMs may be unavailable at once, planned and unplanned together.
    pub max_unavailable_vms: VmCount,
    /// The revision of the document.
    pub revision: Revision,
}

quick_error! {
    /// Why a permit was not granted.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum BudgetRefusal {
        /// Another unavailable VM would exceed the budget.
        Spent(pool: PoolId, planned_vms: u32, unplanned_vms: u32, max_unavailable_vms: u32) {
            display("pool {pool} has {planned_vms} planned and {unplanned_vms} unplanned of {max_unavailable_vms} unavailable VMs")
        }
    }
}
