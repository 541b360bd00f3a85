use std::time::{Duration, Instant};

use rhubarbfall_core::{Generation, LiteMap, PoolId, VmId};

use crate::VmRow;

#[derive(Debug, Clone)]
struct ViewedVm {
    generation: Generation,
    pool: PoolId,
    is_routable: bool,
    read_at: Instant,
}

/// An entry's view of the rows of its zone's VMs.
///
/// A row expires after a fixed time, and an older generation never replaces a newer one, so that an
/// entry that was paused cannot route to a VM that has moved in the meantime.
#[derive(Debug, Clone)]
pub struct RoutingView {
    lifetime: Duration,
    vms: LiteMap<VmId, ViewedVm>,
}

impl RoutingView {
    /// Creates an empty view whose rows expire after `lifetime`.
    #[must_use]
    pub const fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            vms: LiteMap::new(),
        }
    }

    /// Applies a row; `read_at` is a time before the read was sent.
    pub fn apply(&mut self, row: &VmRow, read_at: Instant) {
        let known = self.vms.get(&row.vm);
        if known.is_some_and(|known| known.generation > row.generation) {
            return;
        }
        let viewed = ViewedVm {
            generation: row.generation,
            pool: row.pool.clone(),
            is_routable: row.is_routable(),
            read_at,
        };
        self.vms.insert(row.vm.clone(), viewed);
    }

    /// Stops routing to a VM on the lease holder's drain command, before the next read.
    pub fn drain(&mut self, vm: &VmId, generation: Generation) {
        if let Some(known) = self
            .vms
            .get_mut(vm)
            .filter(|vm| vm.generation <= generation)
        {
            known.generation = generation;
            known.is_routable = false;
        }
    }

    /// Returns the pool whose requests may be routed to the VM now, or `None` if there is none.
    pub fn pool_of(&self, vm: &VmId, now: Instant) -> Option<&PoolId> {
        let known = self.vms.get(vm)?;
        let is_fresh = now < known.read_at + self.lifetime;
        (is_fresh && known.is_routable).then_some(&known.pool)
    }

    /// Returns the newest applied generation of the VM's row.
    pub fn generation_of(&self, vm: &VmId) -> Option<Generation> {
        self.vms.get(vm).map(|known| known.generation)
    }
}
