use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, ServiceId, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::action::Action;
use crate::{Order, Resources, TaskId};

/// How long a call without an answer rests before it is repeated; a repeat is harmless.
const REPEAT_AFTER: Duration = Duration::from_millis(600);

/// The part of a wave's time that is kept in reserve for its last VMs.
const WAVE_RESERVE: f64 = 0.15;

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

/// A request that VMs are maintained.
#[derive(Debug, Clone, PartialEq)]
pub struct Wave {
    /// The wave.
    pub id: WaveId,
    /// The VMs.
    pub vms: Vec<VmId>,
    /// How long it may take.
    pub duration: Duration,
    /// The most VMs that may be down for it at the same time.
    pub max_down: usize,
}

/// How far a wave has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveState {
    /// VMs of it wait for their maintenance.
    Running,
    /// The maintenance of each has begun.
    Completed,
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
enum VmPhase {
    /// Its worker gets no new work and runs empty.
    Emptying,
    /// The call is on its way.
    Calling,
    /// No answer came.
    Unclear(BootTime),
    /// It is away and comes back as another worker.
    Away(BootTime),
}

#[derive(Debug, Clone)]
struct VmWork {
    task: VmTask,
    phase: VmPhase,
    worker: Option<WorkerId>,
}

#[derive(Debug)]
struct WaveRun {
    wave: Wave,
    since: BootTime,
    begun: Vec<VmId>,
    reported: Option<WaveState>,
}

/// What is known of VMs and what is being done with them.
#[derive(Debug, Default)]
pub(super) struct Upkeep {
    vms: LiteMap<VmId, VmRow>,
    work: LiteMap<VmId, VmWork>,
    waves: LiteMap<WaveId, WaveRun>,
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
    /// Takes the platform's list of VMs.
    pub fn vms_listed(&mut self, rows: Vec<VmRow>, now: BootTime) {
        let mut vms = LiteMap::new();
        for row in rows {
            vms.insert(row.vm.clone(), row);
        }
        self.upkeep.vms = vms;
        let is_back = |work: &VmWork, row: Option<&VmRow>| match (work.phase, row) {
            (VmPhase::Away(since), Some(row)) => {
                row.state == VmState::Up
                    && (row.worker != work.worker || now.since(since) > REPEAT_AFTER * 10)
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

    /// Takes a request for maintenance.
    pub fn wave_requested(&mut self, wave: Wave, now: BootTime) {
        if self.upkeep.waves.get(&wave.id).is_some() {
            return;
        }
        log::info!(
            "event=wave_requested wave={} vms={} max_down={} duration={:?}",
            wave.id,
            wave.vms.len(),
            wave.max_down,
            wave.duration
        );
        let run = WaveRun {
            since: now,
            begun: Vec::new(),
            reported: None,
            wave,
        };
        self.upkeep.waves.insert(run.wave.id.clone(), run);
    }

    /// Returns the states of waves that have not been reported yet.
    #[must_use]
    pub fn unreported_waves(&self) -> Vec<(WaveId, WaveState)> {
        self.upkeep
            .waves
            .iter()
            .filter(|(_, run)| run.reported != Some(self.wave_state(run)))
            .map(|(id, run)| (id.clone(), self.wave_state(run)))
            .collect()
    }

    /// Notes that a wave's state was reported.
    pub fn wave_reported(&mut self, id: &WaveId, state: WaveState) {
        if let Some(run) = self.upkeep.waves.get_mut(id) {
            run.reported = Some(state);
            log::info!("event=wave_reported wave={id} state={state:?}");
        }
    }

    fn wave_state(&self, run: &WaveRun) -> WaveState {
        if run.wave.vms.iter().all(|vm| run.begun.contains(vm)) {
            WaveState::Completed
        } else {
            WaveState::Running
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
                let worker = work.worker.clone();
                if let VmTask::Maintain(wave) = &task
                    && let Some(run) = self.upkeep.waves.get_mut(wave)
                {
                    run.begun.push(vm.clone());
                }
                if let Some(worker) = worker {
                    self.worker_left(&worker, now);
                }
            }
            Some(false) => {
                let worker = work.worker.clone();
                self.upkeep.work.remove(vm);
                if let Some(worker) = worker.and_then(|id| self.workers.get_mut(&id)) {
                    worker.is_cordoned = false;
                }
            }
            None => work.phase = VmPhase::Unclear(now),
        }
    }

    fn worker_left(&mut self, id: &WorkerId, now: BootTime) {
        self.drop_runs_of(id, now, "vm_left");
        self.workers.remove(id);
    }

    /// Carries waves on.
    pub fn tick_upkeep(&mut self, now: BootTime) {
        self.repeat_unclear(now);
        self.start_emptying(now);
        self.resize_pools(now);
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

    /// Takes the next VMs of each wave out of service, within the wave's limit.
    fn start_emptying(&mut self, _now: BootTime) {
        let mut chosen: Vec<(VmId, WaveId)> = Vec::new();
        for (id, run) in self.upkeep.waves.iter() {
            let is_busy = |vm: &VmId| {
                self.upkeep
                    .work
                    .get(vm)
                    .is_some_and(|work| work.task == VmTask::Maintain(id.clone()))
            };
            let busy = run.wave.vms.iter().filter(|vm| is_busy(vm)).count();
            let room = run.wave.max_down.max(1).saturating_sub(busy);
            let mut waiting: Vec<(u64, &VmId)> = run
                .wave
                .vms
                .iter()
                .filter(|vm| !run.begun.contains(vm) && self.upkeep.work.get(*vm).is_none())
                .filter_map(|vm| {
                    let row = self.upkeep.vms.get(vm)?;
                    (row.state == VmState::Up).then(|| (self.load_of(row), vm))
                })
                .collect();
            waiting.sort();
            chosen.extend(
                waiting
                    .into_iter()
                    .take(room)
                    .map(|(_, vm)| (vm.clone(), id.clone())),
            );
        }
        for (vm, wave) in chosen {
            self.begin_emptying(&vm, VmTask::Maintain(wave));
        }
    }

    pub(super) fn begin_emptying(&mut self, vm: &VmId, task: VmTask) {
        let worker = self.upkeep.vms.get(vm).and_then(|row| row.worker.clone());
        log::info!("event=vm_emptying vm={vm} task={task:?}");
        if let Some(worker) = worker.as_ref().and_then(|id| self.workers.get_mut(id)) {
            worker.is_cordoned = true;
        }
        let work = VmWork {
            task,
            phase: VmPhase::Emptying,
            worker,
        };
        self.upkeep.work.insert(vm.clone(), work);
    }

    fn load_of(&self, row: &VmRow) -> u64 {
        row.worker
            .as_ref()
            .and_then(|id| self.workers.get(id))
            .map_or(0, |worker| worker.placed.len() as u64)
    }

    /// Stops lasting tasks on VMs that run empty, as far as each step may miss them.
    fn stop_lasting_on_cordoned(&mut self, _now: BootTime) {
        let workers: Vec<WorkerId> = self
            .upkeep
            .work
            .iter()
            .filter(|(_, work)| work.phase == VmPhase::Emptying)
            .filter_map(|(_, work)| work.worker.clone())
            .collect();
        for worker in workers {
            let placed = self
                .workers
                .get(&worker)
                .map(|worker| worker.placed.clone());
            for id in placed.unwrap_or_default() {
                if self.may_interrupt(&id) {
                    log::info!("event=run_stopped id={id} reason=vm_emptying");
                    self.set_order(&id, Order::STOP);
                }
            }
        }
    }

    /// Returns whether a lasting task is at work and few enough others of its step are away.
    fn may_interrupt(&self, id: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.submission) else {
            return false;
        };
        let step = &job.submission.steps[usize::from(id.step)];
        let is_at_work = |task: &crate::Task| {
            task.placement().is_some_and(|placed| {
                matches!(placed.order, Order::Accepted(_)) && placed.percent >= 100
            })
        };
        if !step.is_lasting || !job.task(id).is_some_and(is_at_work) {
            return false;
        }
        let tasks = job
            .occurrences
            .get(id.occurrence as usize)
            .map(|occurrence| &occurrence.steps[usize::from(id.step)].tasks);
        let away = tasks.map_or(0, |tasks| {
            tasks.iter().filter(|task| !is_at_work(task)).count()
        });
        away < step.may_miss.max(1) as usize
    }

    fn call_for_empty(&mut self, now: BootTime) {
        let mut ready = Vec::new();
        for (vm, work) in self.upkeep.work.iter() {
            let worker = work.worker.as_ref().and_then(|id| self.workers.get(id));
            let is_empty = worker.is_none_or(|worker| worker.is_empty());
            let is_pressing = match &work.task {
                VmTask::Maintain(wave) => self.is_behind(wave, now),
                VmTask::Move(_) => false,
            };
            let has_lasting = worker.is_some_and(|worker| self.has_lasting(&worker.placed));
            if work.phase == VmPhase::Emptying && (is_empty || (is_pressing && !has_lasting)) {
                ready.push(vm.clone());
            }
        }
        for vm in ready {
            self.call(&vm);
        }
    }

    fn has_lasting(&self, tasks: &[TaskId]) -> bool {
        tasks.iter().any(|id| {
            self.jobs
                .get(&id.submission)
                .is_some_and(|job| job.submission.steps[usize::from(id.step)].is_lasting)
        })
    }

    /// Returns whether a wave has less of its VMs begun than of its time passed.
    fn is_behind(&self, wave: &WaveId, now: BootTime) -> bool {
        let Some(run) = self.upkeep.waves.get(wave) else {
            return false;
        };
        let usable = run.wave.duration.mul_f64(1.0 - WAVE_RESERVE);
        let passed = now.since(run.since).as_secs_f64() / usable.as_secs_f64().max(0.001);
        let begun = run.begun.len() as f64 / run.wave.vms.len().max(1) as f64;
        passed > begun
    }

    fn call(&mut self, vm: &VmId) {
        let Some(work) = self.upkeep.work.get_mut(vm) else {
            return;
        };
        work.phase = VmPhase::Calling;
        let vm = vm.clone();
        self.actions.push(match &work.task {
            VmTask::Move(to) => Action::Move { vm, to: to.clone() },
            VmTask::Maintain(wave) => Action::Maintain {
                vm,
                wave: wave.clone(),
            },
        });
    }
}
