//! Moves and maintenance of VMs: a VM is drained, the platform is called, and the VM returns with a
//! new worker.

use std::sync::Arc;
use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{AvailabilityZoneId, BootTime, ServiceId, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::action::Action;
use super::pools::LateWork;
use super::token_bucket::TokenBucket;
use super::vm_list::VmList;
use super::waves::ActiveWave;
use crate::{Resources, Worker, WorkerState};

/// How long an unconfirmed call waits before it is repeated; the calls are idempotent.
const UNCONFIRMED_CALL_RETRY_DELAY: Duration = Duration::from_millis(600);

/// How long no VM is drained after a refused call, so that a service that refuses calls is not
/// called many times a second.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(400);

/// How long after the call a VM counts as returned that no list has shown as away: moves and
/// maintenance take two seconds, and a worker may return under the same name.
const UNSEEN_RETURN_DELAY: Duration = Duration::from_secs(6);

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct VmRow {
    /// The identifier of the VM.
    pub vm: VmId,
    /// The service whose pool contains the VM.
    pub pool: ServiceId,
    /// The state of the VM.
    pub state: VmState,
    /// The worker that runs on the VM.
    pub worker: Option<WorkerId>,
    /// The availability zone of the VM, if the platform states it.
    pub availability_zone: Option<AvailabilityZoneId>,
    /// The total resources of the VM.
    pub capacity: Resources,
    /// The labels that the workers of the VM have.
    pub labels: Vec<Arc<str>>,
}

/// The state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM is in service.
    Up,
    /// The VM is moving to another pool.
    Moving,
    /// The VM is under maintenance.
    Maintenance,
    /// The VM is down.
    Down,
}

/// An operation on a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmOperation {
    /// Move the VM to the pool of a service.
    Move(ServiceId),
    /// Maintain the VM for a wave.
    Maintain(WaveId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VmPhase {
    /// The VM's worker gets no new work until its tasks have ended.
    Draining,
    /// The call waits until this version of its wave is stored.
    Storing(u64),
    /// The call was sent at this time and has no answer yet.
    CallInFlight(BootTime),
    /// The call failed without an answer at this time.
    Unconfirmed(BootTime),
    /// The call succeeded at this time, and the VM has not returned yet.
    InProgress(BootTime),
}

#[derive(Debug, Clone)]
pub(super) struct ActiveOperation {
    pub(super) operation: VmOperation,
    /// When this owner began or recovered the operation.
    pub(super) since: BootTime,
    pub(super) phase: VmPhase,
    pub(super) worker: Option<WorkerId>,
    /// Whether a call of the operation, by this owner or an earlier one, got no answer: it may have
    /// been carried out, whatever a repetition is answered.
    pub(super) has_unanswered_call: bool,
    /// Whether a list that was requested after the call has shown the VM as away.
    pub(super) was_listed_away: bool,
    /// Whether the time until the VM's return shows how long others take: this owner began the
    /// operation, and no long-running task had to leave the VM.
    pub(super) shows_cycle: bool,
}

impl ActiveOperation {
    /// Returns whether a list requested at `asked_at` shows the VM away for the operation.
    fn is_away_in(&self, row: &VmRow, asked_at: BootTime) -> bool {
        match self.phase {
            VmPhase::InProgress(since) => since < asked_at && row.state != VmState::Up,
            VmPhase::CallInFlight(since) => since < asked_at && row.state == self.listed_state(),
            VmPhase::Draining | VmPhase::Storing(_) | VmPhase::Unconfirmed(_) => false,
        }
    }

    /// Returns whether a list requested at `asked_at` shows the VM back in service.
    fn has_returned_in(&self, row: &VmRow, asked_at: BootTime, now: BootTime) -> bool {
        let VmPhase::InProgress(since) = self.phase else {
            return false;
        };
        let has_changed = row.worker != self.worker
            || matches!(&self.operation, VmOperation::Move(to) if *to == row.pool);
        since < asked_at
            && row.state == VmState::Up
            && (has_changed || self.was_listed_away || now.since(since) > UNSEEN_RETURN_DELAY)
    }

    /// Returns when the VM was last known to exist, or `None` while an answer will tell.
    const fn vm_known_at(&self) -> Option<BootTime> {
        match self.phase {
            VmPhase::InProgress(answered_at) => Some(answered_at),
            VmPhase::Draining | VmPhase::Unconfirmed(_) => Some(self.since),
            VmPhase::Storing(_) | VmPhase::CallInFlight(_) => None,
        }
    }

    /// Returns the state in which a VM is listed while the operation is carried out.
    fn listed_state(&self) -> VmState {
        match self.operation {
            VmOperation::Move(_) => VmState::Moving,
            VmOperation::Maintain(_) => VmState::Maintenance,
        }
    }

    /// Returns whether the VM may be down for the operation.
    pub(super) fn may_be_down(&self) -> bool {
        self.has_unanswered_call || self.phase != VmPhase::Draining
    }

    /// Returns whether the operation is maintenance for this wave.
    pub(super) fn is_for_wave(&self, wave: &WaveId) -> bool {
        matches!(&self.operation, VmOperation::Maintain(of) if of == wave)
    }
}

/// The listed VMs and the operations on them.
#[derive(Debug, Default)]
pub(super) struct VmOperations {
    pub(super) vms: VmList,
    pub(super) active: LiteMap<VmId, ActiveOperation>,
    pub(super) waves: LiteMap<WaveId, ActiveWave>,
    /// The VMs beyond what pools need, and when they were counted.
    pub(super) room: Option<(usize, BootTime)>,
    /// Limits the rate of moves.
    pub(super) move_bucket: Option<TokenBucket>,
    /// The late work of each pool that needs VMs for it.
    pub(super) late_work: LiteMap<ServiceId, LateWork>,
    /// The VMs from which a drain for a move was withdrawn lately, and when.
    pub(super) withdrawn_drains: LiteMap<VmId, BootTime>,
    /// The earliest time at which another VM is drained after a refused call.
    backoff_until: BootTime,
    /// The time until which an order of an earlier owner may still reach the VM service.
    inherited_orders_until: BootTime,
}

impl VmOperations {
    /// Returns the listed VMs.
    pub(super) fn vms(&self) -> impl Iterator<Item = &VmRow> {
        self.vms.iter()
    }

    /// Returns whether an operation on a VM is active.
    pub(super) fn is_busy(&self, vm: &VmId) -> bool {
        self.active.get(vm).is_some()
    }

    /// Returns the workers on VMs with an active operation, sorted; they get no new work.
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

    /// Returns the number of VMs that are moving to a pool, without the unusable ones.
    pub(super) fn moving_to(
        &self,
        service: &ServiceId,
        is_unusable: impl Fn(&VmId) -> bool,
    ) -> usize {
        let is_to = |active: &ActiveOperation| {
            matches!(&active.operation,
                VmOperation::Move(to) if to == service)
        };
        self.active
            .iter()
            .filter(|(vm, active)| is_to(active) && !is_unusable(vm))
            .count()
    }

    /// Returns the number of calls in flight.
    pub(super) fn calls_in_flight(&self) -> usize {
        self.active
            .iter()
            .filter(|(_, active)| matches!(active.phase, VmPhase::CallInFlight(_)))
            .count()
    }
}

impl Scheduler {
    /// Processes the platform's list of VMs, which was requested at `asked_at`.
    pub fn vms_listed(&mut self, rows: Vec<VmRow>, asked_at: BootTime, now: BootTime) {
        if !self.vm_ops.vms.replace(rows, asked_at) {
            let age_ms = now.since(asked_at).as_millis();
            log::info!("event=vm_list_outdated age_ms={age_ms}");
            return;
        }
        self.update_wave_vms();
        self.confirm_listed_operations(asked_at, now);
        self.note_listed_away(asked_at);
        self.drop_workers_of_absent(now);
        let list = &self.vm_ops.vms;
        let has_returned = |vm: &VmId, active: &ActiveOperation| match list.get(vm) {
            Some(row) => active.has_returned_in(row, asked_at, now),
            None => active
                .vm_known_at()
                .is_some_and(|known_at| list.is_gone_since(vm, known_at)),
        };
        let returned: Vec<VmId> = self
            .vm_ops
            .active
            .iter()
            .filter(|(vm, active)| has_returned(vm, active))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in returned {
            let Some(active) = self.vm_ops.active.remove(&vm) else {
                continue;
            };
            log::info!(
                "event=vm_returned vm={vm} is_listed={} phase={:?} list_age_ms={}",
                self.vm_ops.vms.get(&vm).is_some(),
                active.phase,
                now.since(asked_at).as_millis()
            );
            let VmOperation::Maintain(wave) = &active.operation else {
                continue;
            };
            self.mark_returned(&vm, wave);
            if active.shows_cycle
                && self.vm_ops.vms.get(&vm).is_some()
                && let Some(of_wave) = self.vm_ops.waves.get_mut(wave)
            {
                of_wave.add_cycle(now.since(active.since));
            }
        }
    }

    /// Confirms unanswered calls for VMs that the platform lists as moving or under maintenance.
    fn confirm_listed_operations(&mut self, asked_at: BootTime, now: BootTime) {
        let is_carried_out = |vm: &VmId, active: &ActiveOperation| {
            let state = self.vm_ops.vms.get(vm).map(|row| row.state);
            matches!(active.phase, VmPhase::Unconfirmed(since) if since < asked_at)
                && state == Some(active.listed_state())
        };
        let operations = self.vm_ops.active.iter();
        let carried_out: Vec<VmId> = operations
            .filter(|(vm, active)| is_carried_out(vm, active))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in carried_out {
            log::info!("event=vm_call_confirmed vm={vm}");
            self.vm_answered(&vm, Some(true), now);
            if let Some(active) = self.vm_ops.active.get_mut(&vm) {
                active.was_listed_away = true;
            }
        }
    }

    /// Records which VMs a list requested at `asked_at` shows away for their operation.
    fn note_listed_away(&mut self, asked_at: BootTime) {
        let VmOperations { vms, active, .. } = &mut self.vm_ops;
        for (vm, active) in active.iter_mut() {
            let is_away = vms
                .get(vm)
                .is_some_and(|row| active.is_away_in(row, asked_at));
            active.was_listed_away |= is_away;
        }
    }

    /// Requeues the tasks of workers whose VMs have left for maintenance or for another pool.
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

    /// Processes the outcome of a call for a VM: whether it succeeded, or `None` if no answer
    /// arrived. A call that was not carried out ends its operation, unless an earlier call of the
    /// operation got no answer: then it is repeated until it succeeds or the VM is listed as away.
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
            Some(false) if active.has_unanswered_call => {
                active.phase = VmPhase::Unconfirmed(now);
                self.vm_ops.backoff_until = now + REFUSAL_BACKOFF;
            }
            Some(false) => self.end_operation(vm, &operation, now),
            None => {
                active.phase = VmPhase::Unconfirmed(now);
                active.has_unanswered_call = true;
            }
        }
    }

    /// Processes a refusal that holds for every call of the same operation, also for those without an
    /// answer.
    pub fn vm_order_invalid(&mut self, vm: &VmId, now: BootTime) {
        let Some(active) = self.vm_ops.active.get(vm) else {
            return;
        };
        let operation = active.operation.clone();
        log::warn!("event=vm_order_invalid vm={vm} operation={operation:?}");
        self.end_operation(vm, &operation, now);
    }

    /// Ends an operation that was certainly not carried out.
    fn end_operation(&mut self, vm: &VmId, operation: &VmOperation, now: BootTime) {
        self.vm_ops.active.remove(vm);
        // The VM's worker gets work again.
        self.needs_placement = true;
        self.vm_ops.backoff_until = now + REFUSAL_BACKOFF;
        if let VmOperation::Maintain(wave) = operation {
            self.remove_call(vm, wave);
        }
    }

    /// Advances moves and maintenance waves.
    pub(super) fn tick_vm_operations(&mut self, now: BootTime) {
        self.repeat_unconfirmed(now);
        self.withdraw_slow_drains(now);
        let may_order = now >= self.vm_ops.inherited_orders_until;
        if may_order && now >= self.vm_ops.backoff_until {
            self.start_wave_drains(now);
            self.resize_pools(now);
        }
        self.stop_long_running_on_cordoned(now);
        if may_order {
            self.call_drained(now);
        }
    }

    /// Withholds orders for VMs until every order of an earlier owner has arrived or is lost. A VM
    /// service that does not compare fencing numbers would carry out an earlier owner's order after
    /// this owner's.
    pub fn await_inherited_vm_orders(&mut self, until: BootTime) {
        self.vm_ops.inherited_orders_until = until;
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
            self.send_call(&vm, now);
        }
    }

    pub(super) fn begin_drain(&mut self, vm: &VmId, operation: VmOperation, now: BootTime) {
        let listed = || self.vm_ops.vms.get(vm).and_then(|row| row.worker.clone());
        let worker = self.worker_naming(vm).or_else(listed);
        log::info!("event=vm_draining vm={vm} worker={worker:?} operation={operation:?}");
        let active = ActiveOperation {
            operation,
            since: now,
            phase: VmPhase::Draining,
            shows_cycle: self.long_running_steps_on(worker.as_ref()).is_empty(),
            worker,
            has_unanswered_call: false,
            was_listed_away: false,
        };
        self.vm_ops.active.insert(vm.clone(), active);
    }

    /// Returns the worker that names a VM as its own: the list of VMs may be older than the worker.
    fn worker_naming(&self, vm: &VmId) -> Option<WorkerId> {
        let names = |worker: &&Worker| worker.is_listed && worker.report.vm.as_ref() == Some(vm);
        let named = self.workers().filter(names);
        let newest = named.max_by_key(|worker| worker.report.incarnation_unix_ms);
        newest.map(|worker| worker.report.id.clone())
    }

    /// Drains a worker that has come to a VM which is being drained.
    pub(super) fn cordon_new_worker(&mut self, id: &WorkerId) {
        let Some(vm) = self.workers.get(id).and_then(|of| of.report.vm.clone()) else {
            return;
        };
        if let Some(active) = self.vm_ops.active.get_mut(&vm)
            && active.phase == VmPhase::Draining
            && active.worker.as_ref() != Some(id)
        {
            log::info!("event=vm_worker_changed vm={vm} worker={id}");
            active.worker = Some(id.clone());
        }
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
            self.call_once_stored(&vm, now);
        }
    }

    /// Returns whether a VM may go down while it runs tasks: none of them is long-running, and its
    /// wave is behind schedule.
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

    /// Returns whether nothing runs on a VM with this worker. A worker that is unknown or has not
    /// answered may still run tasks started by an earlier owner.
    pub(super) fn is_known_empty(&self, worker: Option<&WorkerId>) -> bool {
        let Some(id) = worker else { return true };
        let has_inherited_leases = self.inherited_lease_expiry.is_some();
        match self.workers.get(id) {
            Some(worker) if worker.state == WorkerState::New => false,
            Some(worker) => worker.is_empty(),
            None => !has_inherited_leases,
        }
    }

    pub(super) fn send_call(&mut self, vm: &VmId, now: BootTime) {
        let Some(active) = self.vm_ops.active.get_mut(vm) else {
            return;
        };
        active.phase = VmPhase::CallInFlight(now);
        self.actions.push(Action::Vm {
            vm: vm.clone(),
            operation: active.operation.clone(),
        });
    }
}
