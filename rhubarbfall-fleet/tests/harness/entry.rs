use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rhubarbfall_core::{EntryId, LiteMap, PoolId, VmId};
use rhubarbfall_fleet::{DrainConfirmation, FleetCommand, RoutingView, VmRow};

/// A simulated entry that routes by its view of the rows.
#[derive(Debug)]
pub struct SimEntry {
    pub id: EntryId,
    pub view: RoutingView,
    pub paused_until: Option<Instant>,
    /// When the last request on each VM ends.
    pub busy_until: LiteMap<VmId, Instant>,
}

impl SimEntry {
    pub fn new(id: EntryId, view_lifetime: Duration) -> Self {
        Self {
            id,
            view: RoutingView::new(view_lifetime),
            paused_until: None,
            busy_until: LiteMap::new(),
        }
    }

    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Starts requests on a random part of the VMs that the view allows.
    pub fn route(&mut self, vms: &[VmId], longest: Duration, rng: &mut ChaCha8Rng, now: Instant) {
        for vm in vms {
            if self.view.pool_of(vm, now).is_some() && rng.random_bool(0.3) {
                let share: f64 = rng.random_range(0.0..1.0);
                let end = now + longest.mul_f64(share * share);
                let known = self.busy_until.get(vm).copied().unwrap_or(end);
                self.busy_until.insert(vm.clone(), known.max(end));
            }
        }
    }

    pub fn read(&mut self, rows: impl Iterator<Item = VmRow>, read_at: Instant) {
        for row in rows {
            self.view.apply(&row, read_at);
        }
    }

    /// Executes a drain command; returns the confirmation once no requests run on the VM.
    pub fn execute(&mut self, command: &FleetCommand, now: Instant) -> Option<DrainConfirmation> {
        let FleetCommand::Drain { vm, generation } = command else {
            return None;
        };
        self.view.drain(vm, *generation);
        let is_idle = self.busy_until.get(vm).is_none_or(|end| *end <= now);
        let is_applied = self.view.generation_of(vm) == Some(*generation);
        (is_idle && is_applied && self.view.pool_of(vm, now).is_none()).then(|| DrainConfirmation {
            entry: self.id.clone(),
            vm: vm.clone(),
            generation: *generation,
        })
    }

    pub fn pool_of(&self, vm: &VmId, now: Instant) -> Option<PoolId> {
        self.view.pool_of(vm, now).cloned()
    }
}
