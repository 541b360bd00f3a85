//! VMs that move or are maintained: they run empty, the call is made, and they come back.

use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, ServiceId, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::action::Action;
use super::token_bucket::TokenBucket;
use super::waves::WaveRun;
use crate::{Resources, WorkerState};

/// How long a call without an answer rests before it is repeated; a repeat is harmless.
const REPEAT_AFTER: Duration = Duration::from_millis(600);

/// How long no VM is chosen after a call was refused, so that a service that takes no calls is not
/// asked many times a second.
const REST_AFTER_REFUSAL: Duration = Duration::from_millis(400);

/// A VM that is listed with the worker that it had counts as back after this long: moves and
/// maintenance take two seconds, and a worker may come back under its name.
const SAME_WORKER_AFTER: Duration = Duration::from_secs(6);

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
pub enum VmTask {
    /// Move it to the pool of a service.
    Move(ServiceId),
    /// Maintain it for a wave.
    Maintain(WaveId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VmPhase {
    /// Its worker gets no new work and runs empty.
    Emptying,
    /// The call waits until this version of its wave is stored.
    Recording(u64),
    /// The call is on its way.
    Calling,
    /// No answer came.
    Unclear(BootTime),
    /// It is away and comes back as another worker.
    Away(BootTime),
}

#[derive(Debug, Clone)]
pub(super) struct VmWork {
    pub(super) task: VmTask,
    pub(super) phase: VmPhase,
    pub(super) worker: Option<WorkerId>,
}

impl VmWork {
    /// Returns whether the VM is to be maintained for this wave.
    pub(super) fn is_for_wave(&self, wave: &WaveId) -> bool {
        matches!(&self.task, VmTask::Maintain(of) if of == wave)
    }
}

/// What is known of VMs and what is being done with them.
#[derive(Debug, Default)]
pub(super) struct Upkeep {
    pub(super) vms: LiteMap<VmId, VmRow>,
    pub(super) work: LiteMap<VmId, VmWork>,
    pub(super) waves: LiteMap<WaveId, WaveRun>,
    /// How many moves may begin now.
    pub(super) moves: Option<TokenBucket>,
    /// No VM is chosen before this time, since a call was refused.
    rests_until: BootTime,
}

impl Upkeep {
    /// Returns the VMs.
    pub(super) fn vms(&self) -> impl Iterator<Item = &VmRow> {
        self.vms.iter().map(|(_, row)| row)
    }

    /// Returns whether something is being done with a VM.
    pub(super) fn is_busy(&self, vm: &VmId) -> bool {
        self.work.get(vm).is_some()
    }

    /// Returns the workers on VMs that something is being done with, sorted: they get no new work.
    pub(super) fn cordoned(&self) -> Vec<WorkerId> {
        let listed = |vm: &VmId| self.vms.get(vm).and_then(|row| row.worker.clone());
        let mut cordoned: Vec<WorkerId> = self
            .work
            .iter()
            .flat_map(|(vm, work)| [work.worker.clone(), listed(vm)])
            .flatten()
            .collect();
        cordoned.sort();
        cordoned
    }

    /// Returns how many VMs are on their way to a pool.
    pub(super) fn moving_to(&self, service: &ServiceId) -> usize {
        let is_to = |work: &VmWork| matches!(&work.task, VmTask::Move(to) if to == service);
        self.work.iter().filter(|(_, work)| is_to(work)).count()
    }

    /// Returns how many calls about VMs are on their way.
    pub(super) fn calls(&self) -> usize {
        self.work
            .iter()
            .filter(|(_, work)| work.phase == VmPhase::Calling)
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
        self.upkeep.vms = vms;
        self.drop_workers_of_absent(now);
        let is_back = |work: &VmWork, row: Option<&VmRow>| match (work.phase, row) {
            (VmPhase::Away(since), Some(row)) if since < asked_at => {
                row.state == VmState::Up
                    && (row.worker != work.worker || now.since(since) > SAME_WORKER_AFTER)
            }
            (VmPhase::Away(_) | VmPhase::Emptying, None) => true,
            _ => false,
        };
        let back: Vec<VmId> = self
            .upkeep
            .work
            .iter()
            .filter(|(vm, work)| is_back(work, self.upkeep.vms.get(vm)))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in back {
            log::info!("event=vm_back vm={vm}");
            self.upkeep.work.remove(&vm);
        }
    }

    /// Gives up what ran on VMs that have left for maintenance or another pool.
    fn drop_workers_of_absent(&mut self, now: BootTime) {
        let is_absent = |vm: &VmId| {
            self.upkeep
                .vms
                .get(vm)
                .is_some_and(|row| row.state != VmState::Up)
        };
        let gone: Vec<WorkerId> = self
            .upkeep
            .work
            .iter()
            .filter(|(vm, work)| matches!(work.phase, VmPhase::Away(_)) && is_absent(vm))
            .filter_map(|(_, work)| work.worker.clone())
            .filter(|worker| self.workers.get(worker).is_some())
            .collect();
        for worker in gone {
            self.drop_runs_of(&worker, now, "vm_left");
            self.workers.remove(&worker);
        }
    }

    /// Notes what became of a call about a VM; `None` means that no answer came.
    pub fn vm_answered(&mut self, vm: &VmId, is_done: Option<bool>, now: BootTime) {
        let Some(work) = self.upkeep.work.get_mut(vm) else {
            return;
        };
        let task = work.task.clone();
        log::info!("event=vm_call vm={vm} task={task:?} done={is_done:?}");
        match is_done {
            Some(true) => {
                work.phase = VmPhase::Away(now);
                if let VmTask::Maintain(wave) = &task {
                    self.note_begun(vm, wave);
                }
            }
            Some(false) => {
                self.upkeep.work.remove(vm);
                self.upkeep.rests_until = now + REST_AFTER_REFUSAL;
                if let VmTask::Maintain(wave) = &task {
                    self.forget_call(vm, wave);
                }
            }
            None => work.phase = VmPhase::Unclear(now),
        }
    }

    /// Carries waves on.
    pub(super) fn tick_upkeep(&mut self, now: BootTime) {
        self.repeat_unclear(now);
        if now >= self.upkeep.rests_until {
            self.start_emptying(now);
            self.resize_pools(now);
        }
        self.stop_lasting_on_cordoned(now);
        self.call_for_empty(now);
    }

    fn repeat_unclear(&mut self, now: BootTime) {
        let due: Vec<VmId> = self
            .upkeep
            .work
            .iter()
            .filter(|(_, work)| {
                matches!(work.phase, VmPhase::Unclear(since) if now.since(since) > REPEAT_AFTER)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in due {
            self.call(&vm);
        }
    }

    pub(super) fn begin_emptying(&mut self, vm: &VmId, task: VmTask) {
        let worker = self.upkeep.vms.get(vm).and_then(|row| row.worker.clone());
        log::info!("event=vm_emptying vm={vm} task={task:?}");
        let work = VmWork {
            task,
            phase: VmPhase::Emptying,
            worker,
        };
        self.upkeep.work.insert(vm.clone(), work);
    }

    fn call_for_empty(&mut self, now: BootTime) {
        let mut ready = Vec::new();
        for (vm, work) in self.upkeep.work.iter() {
            if work.phase == VmPhase::Emptying
                && (self.is_surely_empty(work.worker.as_ref()) || self.may_be_cut(work, now))
            {
                ready.push(vm.clone());
            }
        }
        for vm in ready {
            self.call_once_stored(&vm);
        }
    }

    /// Returns whether a VM may go down with tasks on it: they end by themselves, and its wave is late.
    fn may_be_cut(&self, work: &VmWork, now: BootTime) -> bool {
        let worker = work.worker.as_ref().and_then(|id| self.workers.get(id));
        let may_end = worker.is_some_and(|worker| {
            worker.state == WorkerState::InTouch
                && !worker.placed.iter().any(|task| self.is_lasting(task))
        });
        may_end && matches!(&work.task, VmTask::Maintain(wave) if self.is_behind(wave, now))
    }

    /// Returns whether nothing runs on a VM with this worker. One that is not known or has not
    /// answered may still run what an earlier owner started.
    fn is_surely_empty(&self, worker: Option<&WorkerId>) -> bool {
        let Some(id) = worker else { return true };
        let has_inheritance = self.inherited_until.is_some();
        match self.workers.get(id) {
            Some(worker) if worker.state == WorkerState::New => false,
            Some(worker) => worker.is_empty(),
            None => !has_inheritance,
        }
    }

    pub(super) fn call(&mut self, vm: &VmId) {
        let Some(work) = self.upkeep.work.get_mut(vm) else {
            return;
        };
        work.phase = VmPhase::Calling;
        self.actions.push(Action::Vm {
            vm: vm.clone(),
            task: work.task.clone(),
        });
    }
}
