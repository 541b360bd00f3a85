use quick_error::quick_error;
use rhubarbfall_core::{PoolId, Revision, VmCount};
use serde::{Deserialize, Serialize};

/// A pool's availability budget and the document revision that defines it.
///
/// The row of a pool stores the newest budget, so that lease holders with different revisions of
/// the document grant against the same limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Limit of VMs that are unavailable at once, planned and unplanned together.
    pub max_unavailable_vms: VmCount,
    /// Revision of the document that defines the limit.
    pub revision: Revision,
}

quick_error! {
    /// Why a permit was not granted.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum BudgetRefusal {
        /// One more unavailable VM would exceed the budget.
        Spent(pool: PoolId, planned_vms: u32, unplanned_vms: u32, max_unavailable_vms: u32) {
            display("pool {pool} has {planned_vms} planned and {unplanned_vms} unplanned unavailable VMs of at most {max_unavailable_vms}")
        }
    }
}
