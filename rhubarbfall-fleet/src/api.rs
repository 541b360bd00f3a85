//! Requests and answers of the operator API for waves, moves and explanations.

use rhubarbfall_core::{PoolId, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::{Decision, PermitLedger, PlannedVm, Subject, VmRow, WaveRow, WaveStatus};

/// A wave with the platform's progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveView {
    /// Row of the wave.
    pub row: WaveRow,
    /// VMs that wait for a permit.
    pub announced_vms: u32,
    /// VMs that have a permit or are being rebooted.
    pub rebooting_vms: u32,
    /// VMs that the platform has rebooted.
    pub rebooted_vms: u32,
}

/// An operator's request to change a wave's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveStatusChange {
    /// Wave to change.
    pub wave: WaveId,
    /// Requested status.
    pub status: WaveStatus,
}

/// An operator's request to move a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmMove {
    /// VM to move.
    pub vm: VmId,
    /// Pool to which the VM moves.
    pub pool: PoolId,
}

/// The explanation of one subject: its rows and the decisions about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Subject that is explained.
    pub subject: Subject,
    /// Row of the VM, with the newest decision that changed it; only for a VM.
    pub vm: Option<VmRow>,
    /// Row of the pool, with its permits and outages.
    pub pool: Option<PermitLedger>,
    /// Row of the wave; only for a wave.
    pub wave: Option<WaveRow>,
    /// Planned starts of announced maintenance, or what it waits for.
    pub plan: Vec<PlannedVm>,
    /// Decisions that the answering process has recorded about the subject.
    pub decisions: Vec<Decision>,
}
