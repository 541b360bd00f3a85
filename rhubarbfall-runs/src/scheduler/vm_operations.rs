//! VMs that move or are maintained: they run empty, the call is made, and they come back.

use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, ServiceId, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::action::Action;
use super::token_bucket::TokenBucket;
use super::waves::ActiveWave;
use crate::{Resources, WorkerState};

/// How long a call without an answer rests before it is repeated; a repeat is harmless.
const UNCONFIRMED_CALL_RETRY_DELAY: Duration = Duration::from_millis(600);

/// How long no VM is chosen after a call was refused, so that a service that takes no calls is not
/// asked many times a second.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(400);

/// A VM that is listed with the worker that it had counts as back after this long: moves and
/// maintenance take two seconds, and a worker may come back under its name.
const SAME_WORKER_RETURN_DELAY: Duration = Duration::from_secs(6);

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct VmRow {
    /// The VM.
    pub vm: VmId,
    /// The service whose pool it is in.
    pub pool: ServiceId,
    /// Its state.
    pub state: VmState,
    /// The worker that runs on it.
    pub worker: Option<WorkerId>,
    /// What it has room for.
    pub capacity: Resources,
}

/// The state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// It serves.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is under maintenance.
    Maintenance,
    /// It is down.
    Down,
}

/// What is to be done with a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmOperation {
    /// Move it to the pool of a service.
    Move(ServiceId),
    /// Maintain it for a wave.
    Maintain(WaveId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VmPhase {
    /// Its worker gets no new work and runs empty.
    Draining,
    /// The call waits until this version of its wave is stored.
    Storing(u64),
    /// The call is on its way.
    CallInFlight,
    /// No answer came.
    Unconfirmed(BootTime),
    /// It is away and comes back as another worker.
    InProgress(BootTime),
}

#[derive(Debug, Clone)]
pub(super) struct ActiveOperation {
    pub(super) operation: VmOperation,
    pub(super) phase: VmPhase,
    pub(super) worker: Option<WorkerId>,
}

impl ActiveOperation {
    /// Returns whether the VM is to be maintained for this wave.
    pub(super) fn is_for_wave(&self, wave: &WaveId) -> bool {
        matches!(&self.operation, VmOperation::Maintain(of) if of == wave)
    }
}

/// What is known of VMs and what is being done with them.
#[derive(Debug, Default)]
pub(super) struct VmOperations {
    pub(super) vms: LiteMap<VmId, VmRow>,
    pub(super) active: LiteMap<VmId, ActiveOperation>,
    pub(super) waves: LiteMap<WaveId, ActiveWave>,
    /// How many moves may begin now.
    pub(super) move_bucket: Option<TokenBucket>,
    /// No VM is chosen before this time, since a call was refused.
    backoff_until: BootTime,
}

impl VmOperations {
    /// Returns the VMs.
    pub(super) fn vms(&self) -> impl Iterator<Item = &VmRow> {
        self.vms.iter().map(|(_, row)| row)
    }

    /// Returns whether something is being done with a VM.
    pub(super) fn is_busy(&self, vm: &VmId) -> bool {
        self.active.get(vm).is_some()
    }

    /// Returns the workers on VMs that something is being done with, sorted: they get no new work.
    pub(super) fn cordoned(&self) -> Vec<WorkerId> {
        let listed = |vm: &VmId| self.vms.get(vm).and_then(|row| row.worker.clone());
        let mut cordoned: Vec<WorkerId> = self
            .active
            .iter()
            .flat_map(|(vm, active)| [active.worker.clone(), listed(vm)])
            .flatten()
            .collect();
        cordoned.sort();
        cordoned
    }

    /// Returns how many VMs are on their way to a pool.
    pub(super) fn moving_to(&self, service: &ServiceId) -> usize {
        let is_to = |active: &ActiveOperation| {
            matches!(&active.operation,
                VmOperation::Move(to) if to == service)
        };
        self.active
            .iter()
            .filter(|(_, active)| is_to(active))
            .count()
    }

    /// Returns how many calls about VMs are on their way.
    pub(super) fn calls_in_flight(&self) -> usize {
        self.active
            .iter()
            .filter(|(_, active)| active.phase == VmPhase::CallInFlight)
            .count()
    }
}

impl Scheduler {
    /// Takes the platform's list of VMs, which was asked for at `asked_at`.
    pub fn vms_listed(&mut self, rows: Vec<VmRow>, asked_at: BootTime, now: BootTime) {
        let mut vms = LiteMap::new();
        for row in rows {
            vms.insert(row.vm.clone(), row);
        }
        self.vm_ops.vms = vms;
        self.drop_workers_of_absent(now);
        let has_returned = |active: &ActiveOperation, row: Option<&VmRow>| match (active.phase, row)
        {
            (VmPhase::InProgress(since), Some(row)) if since < asked_at => {
                row.state == VmState::Up
                    && (row.worker != active.worker || now.since(since) > SAME_WORKER_RETURN_DELAY)
            }
            (VmPhase::InProgress(_) | VmPhase::Draining, None) => true,
            _ => false,
        };
        let returned: Vec<VmId> = self
            .vm_ops
            .active
            .iter()
            .filter(|(vm, active)| has_returned(active, self.vm_ops.vms.get(vm)))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in returned {
            log::info!("event=vm_returned vm={vm}");
            self.vm_ops.active.remove(&vm);
        }
    }

    /// Gives up what ran on VMs that have left for maintenance or another pool.
    fn drop_workers_of_absent(&mut self, now: BootTime) {
        let is_absent = |vm: &VmId| {
            self.vm_ops
                .vms
                .get(vm)
                .is_some_and(|row| row.state != VmState::Up)
        };
        let gone: Vec<WorkerId> = self
            .vm_ops
            .active
            .iter()
            .filter(|(vm, active)| matches!(active.phase, VmPhase::InProgress(_)) && is_absent(vm))
            .filter_map(|(_, active)| active.worker.clone())
            .filter(|worker| self.workers.get(worker).is_some())
            .collect();
        for worker in gone {
            self.requeue_tasks_of(&worker, now, "vm_left");
            self.workers.remove(&worker);
        }
    }

    /// Notes what became of a call about a VM; `None` means that no answer came.
    pub fn vm_answered(&mut self, vm: &VmId, is_done: Option<bool>, now: BootTime) {
        let Some(active) = self.vm_ops.active.get_mut(vm) else {
            return;
        };
        let operation = active.operation.clone();
        log::info!("event=vm_call vm={vm} operation={operation:?} done={is_done:?}");
        match is_done {
            Some(true) => {
                active.phase = VmPhase::InProgress(now);
                if let VmOperation::Maintain(wave) = &operation {
                    self.mark_maintenance_begun(vm, wave);
                }
            }
            Some(false) => {
                self.vm_ops.active.remove(vm);
                self.vm_ops.backoff_until = now + REFUSAL_BACKOFF;
                if let VmOperation::Maintain(wave) = &operation {
                    self.remove_call(vm, wave);
                }
            }
            None => active.phase = VmPhase::Unconfirmed(now),
        }
    }

    /// Carries waves on.
    pub(super) fn tick_vm_operations(&mut self, now: BootTime) {
        self.repeat_unconfirmed(now);
        if now >= self.vm_ops.backoff_until {
            self.start_wave_drains(now);
            self.resize_pools(now);
        }
        self.stop_long_running_on_cordoned(now);
        self.call_drained(now);
    }

    fn repeat_unconfirmed(&mut self, now: BootTime) {
        let due: Vec<VmId> = self
            .vm_ops
            .active
            .iter()
            .filter(|(_, active)| {
                matches!(active.phase, VmPhase::Unconfirmed(since)
                    if now.since(since) > UNCONFIRMED_CALL_RETRY_DELAY)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in due {
            self.send_call(&vm);
        }
    }

    pub(super) fn begin_drain(&mut self, vm: &VmId, operation: VmOperation) {
        let worker = self.vm_ops.vms.get(vm).and_then(|row| row.worker.clone());
        log::info!("event=vm_draining vm={vm} operation={operation:?}");
        let active = ActiveOperation {
            operation,
            phase: VmPhase::Draining,
            worker,
        };
        self.vm_ops.active.insert(vm.clone(), active);
    }

    fn call_drained(&mut self, now: BootTime) {
        let mut ready = Vec::new();
        for (vm, active) in self.vm_ops.active.iter() {
            if active.phase == VmPhase::Draining
                && (self.is_known_empty(active.worker.as_ref())
                    || self.may_abort_tasks(active, now))
            {
                ready.push(vm.clone());
            }
        }
        for vm in ready {
            self.call_once_stored(&vm);
        }
    }

    /// Returns whether a VM may go down with tasks on it: they end by themselves, and its wave is late.
    fn may_abort_tasks(&self, active: &ActiveOperation, now: BootTime) -> bool {
        let worker = active.worker.as_ref().and_then(|id| self.workers.get(id));
        let may_end = worker.is_some_and(|worker| {
            worker.state == WorkerState::Reachable
                && !worker.placed.iter().any(|task| self.is_long_running(task))
        });
        may_end
            && matches!(&active.operation, VmOperation::Maintain(wave)
                if self.is_behind_schedule(wave, now))
    }

    /// Returns whether nothing runs on a VM with this worker. One that is not known or has not
    /// answered may still run what an earlier owner started.
    fn is_known_empty(&self, worker: Option<&WorkerId>) -> bool {
        let Some(id) = worker else { return true };
        let has_inherited_leases = self.inherited_lease_expiry.is_some();
        match self.workers.get(id) {
            Some(worker) if worker.state == WorkerState::New => false,
            Some(worker) => worker.is_empty(),
            None => !has_inherited_leases,
        }
    }

    pub(super) fn send_call(&mut self, vm: &VmId) {
        let Some(active) = self.vm_ops.active.get_mut(vm) else {
            return;
        };
        active.phase = VmPhase::CallInFlight;
        self.actions.push(Action::Vm {
            vm: vm.clone(),
            operation: active.operation.clone(),
        });
    }
}
