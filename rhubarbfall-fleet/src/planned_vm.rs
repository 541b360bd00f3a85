use rhubarbfall_core::{AvailabilityZoneId, PoolId, RackId, VmId, WaveId};
use serde::{Deserialize, Serialize};

use crate::Reason;

/// The planned start of one VM's maintenance, or the reason why it waits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedVm {
    /// Wave that announced the maintenance.
    pub wave: WaveId,
    /// VM to be rebooted.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneId,
    /// Rack of the VM.
    pub rack: RackId,
    /// Pool of the VM.
    pub pool: PoolId,
    /// Expected time until the drain starts, in seconds; 0 if the permit is granted.
    pub starts_in_s: u64,
    /// Why the drain starts now, or what it waits for.
    pub reason: Reason,
}

impl PlannedVm {
    /// Returns whether the plan grants the VM its permit now.
    #[must_use]
    pub const fn is_granted(&self) -> bool {
        matches!(self.reason, Reason::PermitGranted { .. })
    }
}
