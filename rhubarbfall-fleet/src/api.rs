//! Requests and answers of the operators' interface about waves, moves and reasons.

use rhubarbfall_core::{PoolId, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::{Decision, PermitLedger, PlannedVm, Subject, VmRow, WaveRow, WaveStatus};

/// A wave with how far the platform is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveView {
    /// The wave's row.
    pub row: WaveRow,
    /// VMs that wait for a permit.
    pub announced_vms: u32,
    /// VMs that have a permit or are down.
    pub rebooting_vms: u32,
    /// VMs that the platform has rebooted.
    pub rebooted_vms: u32,
}

/// An operator's change of a wave's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveStatusChange {
    /// The wave.
    pub wave: WaveId,
    /// The new status.
    pub status: WaveStatus,
}

/// An operator's request to move a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmMove {
    /// The VM.
    pub vm: VmId,
    /// The pool that it is to belong to.
    pub pool: PoolId,
}

/// What is known of one subject: its rows, and the decisions about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The subject.
    pub subject: Subject,
    /// The VM's row, which holds the newest decision that changed it.
    pub vm: Option<VmRow>,
    /// The pool's row, with its permits and outages.
    pub pool: Option<PermitLedger>,
    /// The wave's row.
    pub wave: Option<WaveRow>,
    /// When announced maintenance begins, or what it waits for.
    pub plan: Vec<PlannedVm>,
    /// Decisions of the process that answered.
    pub decisions: Vec<Decision>,
}
