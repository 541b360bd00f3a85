use rhubarbfall_core::{
    AvailabilityZoneId, FencingNumber, Generation, PoolId, RackId, VmId, WaveId,
};
use serde::{Deserialize, Serialize};

use crate::{Decision, Purpose};

/// The state of a VM in service, in maintenance or during a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum VmRowState {
    /// Entries may route to the VM.
    InService,
    /// Entries stop routing to the VM, and its running requests finish.
    Draining {
        /// Why the VM is drained.
        purpose: Purpose,
    },
    /// The VM is drained, and the platform may reboot it.
    Rebooting {
        /// The wave that announced the reboot.
        wave: WaveId,
    },
    /// The VM must pass its health checks for a while before it returns to service.
    Proving {
        /// The wave for which the VM was drained.
        wave: WaveId,
        /// Whether the platform has rebooted the VM; false after a cancelled drain.
        is_rebooted: bool,
    },
    /// The VM has joined its pool and must pass its health checks before it serves.
    Warming,
    /// The VM did not return to service in time; it counts as an outage until it does.
    Failed {
        /// The wave whose reboot may still be in progress.
        wave: Option<WaveId>,
    },
}

/// The row of one VM, the only authority on the pool to which the VM belongs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// Identifier of the VM, also the key of the row.
    pub vm: VmId,
    /// Availability zone in which the VM runs.
    pub zone: AvailabilityZoneId,
    /// Rack in which the VM runs.
    pub rack: RackId,
    /// Pool to which the VM belongs.
    pub pool: PoolId,
    /// State of the VM; entries route to it only in [`VmRowState::InService`].
    pub state: VmRowState,
    /// Incremented by every write that changes the pool or the state.
    pub generation: Generation,
    /// Fencing number of the lease under which the row was last written.
    pub fence: FencingNumber,
    /// Pool to which operators want to move the VM, until the move is complete.
    #[serde(default)]
    pub wanted_pool: Option<PoolId>,
    /// Newest wave that has rebooted the VM.
    #[serde(default)]
    pub last_wave: Option<WaveId>,
    /// Decision behind the last change of the row, stored so that every entry can explain it.
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

    /// Sets the state and the fencing number, and increments the generation.
    pub fn transition_to(&mut self, state: VmRowState, fence: FencingNumber) {
        self.state = state;
        self.fence = fence;
        self.generation = self.generation.next();
    }
}
