use rhubarbfall_core::{AvailabilityZoneId, RackId, VmId, WaveId};
use serde::{Deserialize, Serialize};

/// An announced reboot of one VM, as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceRecord {
    /// The maintenance wave that the reboot belongs to.
    pub wave: WaveId,
    /// The VM to reboot.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub availability_zone: AvailabilityZoneId,
    /// The rack of the VM.
    pub rack: RackId,
    /// The deadline of the reboot, in milliseconds since the Unix epoch.
    pub due_at_unix_ms: u64,
    /// The progress of the reboot.
    pub state: MaintenanceState,
}

/// The progress of a reboot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MaintenanceState {
    /// The platform waits for the permit.
    Announced,
    /// The permit was granted; the reboot has not started.
    Permitted,
    /// The VM is down for its reboot.
    Rebooting,
    /// The reboot is complete.
    Done,
}

/// A permit to reboot one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenancePermit {
    /// The maintenance wave that the reboot belongs to.
    pub wave: WaveId,
    /// The VM that may be rebooted.
    pub vm: VmId,
}
