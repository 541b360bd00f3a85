use rhubarbfall_core::{AvailabilityZoneId, RackId, VmId, WaveId};
use serde::{Deserialize, Serialize};

/// The reboot of one VM that the platform has announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceRecord {
    /// The wave that the reboot belongs to.
    pub wave: WaveId,
    /// The VM.
    pub vm: VmId,
    /// The VM's availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The VM's rack.
    pub rack: RackId,
    /// The time by which the reboot must have happened, in milliseconds since the Unix epoch.
    pub due_at_unix_ms: u64,
    /// How far the platform is.
    pub state: MaintenanceState,
}

/// How far the platform is with a reboot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MaintenanceState {
    /// The platform waits for a permit.
    Announced,
    /// The platform has the permit and has not begun.
    Permitted,
    /// The VM is down.
    Rebooting,
    /// The VM has been rebooted.
    Done,
}

/// The permit to reboot one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenancePermit {
    /// The wave.
    pub wave: WaveId,
    /// The VM.
    pub vm: VmId,
}
