use rhubarbfall_core::{PoolId, VmId};

use crate::Reason;

/// A request to move a VM, which the budget of its pool may still refuse.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRequest {
    /// VM to move.
    pub vm: VmId,
    /// Pool to which the VM moves.
    pub to: PoolId,
    /// Reason to record when the move starts.
    pub reason: Reason,
}
