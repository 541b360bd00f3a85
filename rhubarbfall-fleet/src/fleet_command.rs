use rhubarbfall_core::{Generation, VmId, WaveId};
use serde::{Deserialize, Serialize};

/// What a round asks others to do; each order may be repeated without harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetCommand {
    /// Every entry of the zone stops routing to the VM and confirms once nothing runs there.
    Drain {
        /// The VM.
        vm: VmId,
        /// The generation to confirm.
        generation: Generation,
    },
    /// The platform may reboot the VM.
    PermitReboot {
        /// The wave that announced the reboot.
        wave: WaveId,
        /// The VM.
        vm: VmId,
    },
}
