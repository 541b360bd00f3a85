use rhubarbfall_core::{AvailabilityZoneId, PoolId, RackId, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::Reason;

/// When a VM's maintenance begins, or what it waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedVm {
    /// The wave.
    pub wave: WaveId,
    /// The VM.
    pub vm: VmId,
    /// The VM's availability zone.
    pub zone: AvailabilityZoneId,
    /// The VM's rack.
    pub rack: RackId,
    /// The VM's pool.
    pub pool: PoolId,
    /// The expected time until the drain begins.
    pub starts_in_s: u64,
    /// Why it begins now, or what it waits for.
    pub reason: Reason,
}

impl PlannedVm {
    /// Returns whether the VM's permit is to be taken now.
    #[must_use]
    pub const fn is_granted(&self) -> bool {
        matches!(self.reason, Reason::PermitGranted { .. })
    }
}
