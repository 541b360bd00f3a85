use std::fmt;

use rhubarbfall_core::{PoolId, RackId, TeamId, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::{BudgetRefusal, StopReason};

/// What a decision is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "id")]
pub enum Subject {
    /// Decisions about a pool.
    Pool(PoolId),
    /// Decisions about a team.
    Team(TeamId),
    /// Decisions about a VM.
    Vm(VmId),
    /// Decisions about a wave.
    Wave(WaveId),
}

/// The rule behind a decision, with the values on which it was decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "rule")]
#[allow(missing_docs, reason = "the field names say what the values are")]
pub enum Reason {
    /// A permit was granted.
    PermitGranted {
        pool: PoolId,
        wave: WaveId,
        rack: RackId,
        room_left_vms: u32,
    },
    /// The pool's budget does not allow another unavailable VM.
    WaitsForBudget { refusal: BudgetRefusal },
    /// Earlier VMs of the wave must return to service first.
    WaitsForBatch { in_flight_vms: u32, limit_vms: u32 },
    /// The demand of the pool's queues is too high now.
    WaitsForDemand {
        pool: PoolId,
        wanted_slots: u32,
        slots_after: u32,
    },
    /// VMs of the pool in earlier zones have priority.
    WaitsForZone { pending_vms: u32 },
    /// The VM is not in service or has an outage, or its pool has no row.
    WaitsForVm,
    /// An operator paused the wave.
    WavePaused,
    /// The wave was stopped.
    WaveStopped { stop: StopReason },
    /// Entries have not confirmed that their requests on the VM have ended.
    WaitsForEntries { missing_entries: u32 },
    /// The VM is drained, and the platform may reboot it.
    RebootPermitted { wave: WaveId },
    /// The platform has rebooted the VM, which must now pass its health checks.
    Rebooted { wave: WaveId },
    /// The VM passed its health checks and is back in service.
    TakenBack { pool: PoolId },
    /// The VM did not return to service in time.
    NotBack { after_s: u64 },
    /// The VM fails its health checks, or is rebooted without a permit.
    OutageRecorded {
        pool: PoolId,
        unavailable_vms: u32,
        max_unavailable_vms: u32,
    },
    /// The VM passes its health checks again.
    OutageCleared { pool: PoolId },
    /// The platform rebooted the VM without a permit.
    RebootedWithoutPermit { wave: WaveId },
    /// A move to a pool that is short of VMs was started.
    MoveStarted {
        from: PoolId,
        to: PoolId,
        wanted_vms: u32,
        available_vms: u32,
    },
    /// A move requested by an operator, or out of a retired pool, was started.
    MoveRequested { from: PoolId, to: PoolId },
    /// The VM was moved to another pool.
    Moved { from: PoolId, to: PoolId },
    /// A row was created for a new VM.
    Adopted { pool: PoolId },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PermitGranted {
                pool,
                wave,
                rack,
                room_left_vms,
            } => write!(
                f,
                "permit granted for {wave}: rack {rack}, pool {pool} has room for {room_left_vms} more"
            ),
            Self::RebootPermitted { wave } => write!(f, "drained; reboot permitted for {wave}"),
            Self::Rebooted { wave } => write!(f, "rebooted for {wave}; must pass health checks"),
            Self::TakenBack { pool } => write!(f, "healthy; back in service in pool {pool}"),
            Self::NotBack { after_s } => write!(f, "did not return to service within {after_s} s"),
            Self::OutageRecorded {
                pool,
                unavailable_vms,
                max_unavailable_vms,
            } => write!(
                f,
                "outage: pool {pool} has {unavailable_vms} unavailable VMs of at most {max_unavailable_vms}"
            ),
            Self::OutageCleared { pool } => write!(f, "healthy again in pool {pool}"),
            Self::RebootedWithoutPermit { wave } => {
                write!(f, "the platform rebooted it for {wave} without a permit")
            }
            Self::Adopted { pool } => write!(f, "new VM; added to pool {pool}"),
            other => other.fmt_wait_or_move(f),
        }
    }
}

impl Reason {
    fn fmt_wait_or_move(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WaitsForBudget { refusal } => write!(f, "waits for the budget: {refusal}"),
            Self::WaitsForBatch {
                in_flight_vms,
                limit_vms,
            } => write!(
                f,
                "waits for the batch: {in_flight_vms} in flight of at most {limit_vms}"
            ),
            Self::WaitsForDemand {
                pool,
                wanted_slots,
                slots_after,
            } => write!(
                f,
                "waits for lower demand: pool {pool} needs {wanted_slots} slots and would have {slots_after}"
            ),
            Self::WaitsForZone { pending_vms } => {
                write!(
                    f,
                    "waits for {pending_vms} VMs of the pool in earlier zones"
                )
            }
            Self::WaitsForVm => f.write_str("waits until the VM is in service"),
            Self::WavePaused => f.write_str("the wave is paused"),
            Self::WaveStopped { stop } => write!(f, "the wave was stopped: {stop}"),
            Self::WaitsForEntries { missing_entries } => {
                write!(
                    f,
                    "waits for {missing_entries} entries to confirm the drain"
                )
            }
            Self::MoveStarted {
                from,
                to,
                wanted_vms,
                available_vms,
            } => write!(
                f,
                "moves from {from} to {to}, which needs {wanted_vms} VMs and has {available_vms}"
            ),
            Self::MoveRequested { from, to } => write!(f, "move requested from {from} to {to}"),
            Self::Moved { from, to } => write!(f, "moved from {from} to {to}"),
            other => write!(f, "{other:?}"),
        }
    }
}
