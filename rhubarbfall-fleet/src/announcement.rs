use rhubarbfall_core::{AvailabilityZoneId, RackId, VmId, WaveId};
use serde::{Deserialize, Serialize};

/// How far the platform is with the maintenance of one VM.
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

/// The platform's announcement that a VM has to be rebooted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The wave that the reboot belongs to.
    pub wave: WaveId,
    /// The VM to reboot.
    pub vm: VmId,
    /// The VM's availability zone.
    pub zone: AvailabilityZoneId,
    /// The VM's rack.
    pub rack: RackId,
    /// The time by which the reboot must have happened, in milliseconds since the Unix epoch.
    pub due_at_unix_ms: u64,
    /// How far the platform is.
    pub state: MaintenanceState,
}
