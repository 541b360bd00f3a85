use rhubarbfall_core::{Generation, VmId, WaveId};
use serde::{Deserialize, Serialize};

/// A command of a round to the entries or to the platform; commands are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetCommand {
    /// Every entry of the zone stops routing to the VM and confirms once it has no requests
    /// running there.
    Drain {
        /// VM to drain.
        vm: VmId,
        /// Generation of the VM's row that the entries confirm.
        generation: Generation,
    },
    /// The platform may reboot the VM.
    PermitReboot {
        /// Wave that announced the reboot.
        wave: WaveId,
        /// VM that may be rebooted.
        vm: VmId,
    },
}
