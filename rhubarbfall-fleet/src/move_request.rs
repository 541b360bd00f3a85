use rhubarbfall_core::{PoolId, VmId};

use crate::Reason;

/// A wish to move a VM, which the budget of its pool may still refuse.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRequest {
    /// The VM.
    pub vm: VmId,
    /// The pool that it is to belong to.
    pub to: PoolId,
    /// Why.
    pub reason: Reason,
}
