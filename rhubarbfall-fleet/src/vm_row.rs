use rhubarbfall_core::{
    AvailabilityZoneId, FencingNumber, Generation, PoolId, RackId, VmId, WaveId,
};
use serde::{Deserialize, Serialize};

use crate::{Decision, Purpose};

/// Where a VM stands between serving, maintenance and a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum VmRowState {
    /// Entries may route to the VM.
    InService,
    /// Entries stop routing to the VM; what runs there ends.
    Draining {
        /// What the drain is for.
        purpose: Purpose,
    },
    /// The VM is empty, and the platform may reboot it.
    Rebooting {
        /// The wave.
        wave: WaveId,
    },
    /// The VM is back and has to prove healthy.
    Proving {
        /// The wave.
        wave: WaveId,
        /// Whether the platform has rebooted it; a cancelled drain proves healthy too.
        is_rebooted: bool,
    },
    /// The VM has just joined its pool and has to prove healthy.
    Warming,
    /// The VM did not come back, and counts as an outage until it does.
    Failed {
        /// The wave whose reboot may still be under way.
        wave: Option<WaveId>,
    },
}

/// The row of one VM: the only word on which pool it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// The VM.
    pub vm: VmId,
    /// The VM's availability zone.
    pub zone: AvailabilityZoneId,
    /// The VM's rack.
    pub rack: RackId,
    /// The pool that the VM belongs to.
    pub pool: PoolId,
    /// Where the VM stands.
    pub state: VmRowState,
    /// Raised by every write that changes pool or state.
    pub generation: Generation,
    /// The fencing number of the lease under which the row was last written.
    pub fence: FencingNumber,
    /// The pool that operators want the VM in, until the move is done.
    #[serde(default)]
    pub wanted_pool: Option<PoolId>,
    /// The newest wave that has rebooted the VM.
    #[serde(default)]
    pub last_wave: Option<WaveId>,
    /// Why the row was last written, so that every entry can explain it.
    #[serde(default)]
    pub decision: Option<Decision>,
}

impl VmRow {
    /// Creates the row of a VM that is in service.
    #[must_use]
    pub const fn new(vm: VmId, zone: AvailabilityZoneId, rack: RackId, pool: PoolId) -> Self {
        Self {
            vm,
            zone,
            rack,
            pool,
            state: VmRowState::InService,
            generation: Generation::new(0),
            fence: FencingNumber::new(0),
            wanted_pool: None,
            last_wave: None,
            decision: None,
        }
    }

    /// Returns whether entries may route to the VM.
    #[must_use]
    pub fn is_routable(&self) -> bool {
        self.state == VmRowState::InService
    }

    /// Takes the next state, with the next generation.
    pub fn transition_to(&mut self, state: VmRowState, fence: FencingNumber) {
        self.state = state;
        self.fence = fence;
        self.generation = self.generation.next();
    }
}
