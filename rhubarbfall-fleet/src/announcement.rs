use rhubarbfall_core::{AvailabilityZoneId, RackId, VmId, WaveId};
use serde::{Deserialize, Serialize};

/// The platform's progress with the maintenance of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncementState {
    /// The platform waits for a permit.
    Announced,
    /// The platform has the permit and has not started the reboot.
    Permitted,
    /// The VM is down for its reboot.
    Rebooting,
    /// The platform has finished the reboot.
    Done,
}

/// The platform's announcement that a VM has to be rebooted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Wave to which the reboot belongs.
    pub wave: WaveId,
    /// VM to reboot.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneId,
    /// Rack of the VM.
    pub rack: RackId,
    /// Time by which the reboot must have happened, in milliseconds since the Unix epoch.
    pub due_at_unix_ms: u64,
    /// Progress of the reboot at the platform.
    pub state: AnnouncementState,
}
