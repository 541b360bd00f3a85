use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, RowVersion, ServiceId, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::action::Action;
use super::storing::WaveRow;
use crate::{Order, Resources, TaskId, WorkerState, encode_wave};

/// How long a call without an answer rests before it is repeated; a repeat is harmless.
const REPEAT_AFTER: Duration = Duration::from_millis(600);

/// How long no VM is chosen after a call was refused, so that a service that takes no calls is not
/// asked many times a second.
const REST_AFTER_REFUSAL: Duration = Duration::from_millis(400);

/// A VM that is listed with the worker that it had counts as back after this long: moves and
/// maintenance take two seconds, and a worker may come back under its name.
const SAME_WORKER_AFTER: Duration = Duration::from_secs(6);

/// How long a VM is under way: until its tasks have ended or lasting ones have moved one by one, and
/// its maintenance.
const VM_CYCLE: Duration = Duration::from_secs(5);

/// How many times as many VMs are under way while they run nothing.
const UNUSED_FACTOR: usize = 2;

/// The part of a wave's time that is kept in reserve for its last VMs.
const WAVE_RESERVE: f64 = 0.4;

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

/// What is stored of a wave, before a call is made and after it was answered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// When it was first seen, in milliseconds since 1970.
    pub first_seen_unix_ms: u64,
    /// The VMs whose maintenance was called for.
    pub called: Vec<CalledVm>,
}

/// A VM whose maintenance was called for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CalledVm {
    /// The VM.
    pub vm: VmId,
    /// The worker that ran on it at the time.
    pub worker: Option<WorkerId>,
    /// Whether the call was answered.
    pub has_begun: bool,
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
struct VmWork {
    task: VmTask,
    phase: VmPhase,
    worker: Option<WorkerId>,
}

#[derive(Debug)]
struct WaveRun {
    wave: Wave,
    since: BootTime,
    progress: WaveProgress,
    /// Rises with each change that has to be stored.
    version: u64,
    stored_version: u64,
    row: Option<RowVersion>,
    reported: Option<WaveState>,
}

/// How many VMs of a wave may be under way at the same time.
#[derive(Debug, Clone, Copy)]
struct WavePace {
    /// When the next one runs tasks.
    used: usize,
    /// When the next one runs nothing.
    unused: usize,
}

impl WaveRun {
    fn has_begun(&self, vm: &VmId) -> bool {
        self.progress
            .called
            .iter()
            .any(|called| called.has_begun && called.vm == *vm)
    }

    /// Returns how many VMs may be under way at the same time: as many as it takes to be in time,
    /// and more of those that nobody uses.
    fn pace(&self, now: BootTime) -> WavePace {
        let most = self.wave.max_down.max(1);
        let usable = self.wave.duration.mul_f64(1.0 - WAVE_RESERVE);
        let left = usable.saturating_sub(now.since(self.since)).max(VM_CYCLE);
        let waiting = self.wave.vms.len().saturating_sub(self.begun());
        let needed = (waiting as f64 * VM_CYCLE.div_duration_f64(left)).ceil() as usize;
        WavePace {
            used: needed.clamp(1, most),
            unused: (needed * UNUSED_FACTOR).clamp(1, most),
        }
    }

    fn begun(&self) -> usize {
        self.wave.vms.iter().filter(|vm| self.has_begun(vm)).count()
    }
}

/// What is known of VMs and what is being done with them.
#[derive(Debug, Default)]
pub(super) struct Upkeep {
    vms: LiteMap<VmId, VmRow>,
    work: LiteMap<VmId, VmWork>,
    waves: LiteMap<WaveId, WaveRun>,
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

    /// Takes a request for maintenance, with what an earlier owner stored of it.
    pub fn wave_requested(
        &mut self,
        wave: Wave,
        stored: Option<(WaveProgress, RowVersion)>,
        now: BootTime,
        unix_ms: u64,
    ) {
        if self.upkeep.waves.get(&wave.id).is_some() {
            return;
        }
        log::info!(
            "event=wave_requested wave={} vms={} max_down={} duration={:?} is_inherited={}",
            wave.id,
            wave.vms.len(),
            wave.max_down,
            wave.duration,
            stored.is_some()
        );
        let (progress, row) = stored.map_or_else(
            || {
                (
                    WaveProgress {
                        first_seen_unix_ms: unix_ms,
                        ..WaveProgress::default()
                    },
                    None,
                )
            },
            |(progress, row)| (progress, Some(row)),
        );
        let age_ms = unix_ms.saturating_sub(progress.first_seen_unix_ms);
        for called in &progress.called {
            // A call without an answer is made again, once the VM is empty: it may never have been
            // made, and tasks may run there. One that was answered may still be down.
            let phase = if called.has_begun {
                VmPhase::Away(now)
            } else {
                VmPhase::Emptying
            };
            let work = VmWork {
                task: VmTask::Maintain(wave.id.clone()),
                phase,
                worker: called.worker.clone(),
            };
            self.upkeep.work.insert(called.vm.clone(), work);
        }
        let version = u64::from(row.is_none());
        let run = WaveRun {
            since: now.before(Duration::from_millis(age_ms)),
            progress,
            version,
            stored_version: 0,
            row,
            reported: None,
            wave,
        };
        self.upkeep.waves.insert(run.wave.id.clone(), run);
    }

    /// Returns the waves whose progress has to be stored.
    pub(super) fn changed_waves(&self) -> Vec<WaveRow> {
        self.upkeep
            .waves
            .iter()
            .filter(|(_, run)| run.stored_version < run.version)
            .map(|(id, run)| WaveRow {
                id: id.clone(),
                progress: encode_wave(&run.progress),
                replaces: run.row,
                version: run.version,
            })
            .collect()
    }

    /// Notes that a wave's progress is stored, and makes the calls that waited for it.
    pub(super) fn wave_stored(&mut self, stored: &WaveRow, row: RowVersion) {
        let Some(run) = self.upkeep.waves.get_mut(&stored.id) else {
            return;
        };
        run.stored_version = stored.version;
        run.row = Some(row);
        let ready: Vec<VmId> = self
            .upkeep
            .work
            .iter()
            .filter(|(_, work)| work.task == VmTask::Maintain(stored.id.clone()))
            .filter(|(_, work)| {
                matches!(work.phase, VmPhase::Recording(version) if version <= stored.version)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in ready {
            self.call(&vm);
        }
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
        let has_left = |vm: &VmId| !self.upkeep.vms.is_empty() && self.upkeep.vms.get(vm).is_none();
        if run
            .wave
            .vms
            .iter()
            .all(|vm| run.has_begun(vm) || has_left(vm))
        {
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
                if let VmTask::Maintain(wave) = &task
                    && let Some(run) = self.upkeep.waves.get_mut(wave)
                    && let Some(called) = run
                        .progress
                        .called
                        .iter_mut()
                        .find(|called| called.vm == *vm)
                {
                    called.has_begun = true;
                    run.version += 1;
                }
            }
            Some(false) => {
                self.upkeep.work.remove(vm);
                self.upkeep.rests_until = now + REST_AFTER_REFUSAL;
                self.forget_call(vm, &task);
            }
            None => work.phase = VmPhase::Unclear(now),
        }
    }

    /// Forgets a call that was surely not carried out: the VM goes on serving, and a new owner must
    /// not repeat the call.
    fn forget_call(&mut self, vm: &VmId, task: &VmTask) {
        let VmTask::Maintain(wave) = task else { return };
        if let Some(run) = self.upkeep.waves.get_mut(wave) {
            run.progress.called.retain(|called| called.vm != *vm);
            run.version += 1;
        }
    }

    /// Carries waves on.
    pub fn tick_upkeep(&mut self, now: BootTime) {
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

    /// Takes the next VMs of each wave out of service, within the wave's limit.
    fn start_emptying(&mut self, now: BootTime) {
        let mut chosen: Vec<(VmId, WaveId)> = Vec::new();
        for (id, run) in self.upkeep.waves.iter() {
            let is_busy = |vm: &VmId| {
                self.upkeep
                    .work
                    .get(vm)
                    .is_some_and(|work| work.task == VmTask::Maintain(id.clone()))
            };
            let busy = run.wave.vms.iter().filter(|vm| is_busy(vm)).count();
            let pace = run.pace(now);
            let mut waiting: Vec<(u64, &VmId)> = run
                .wave
                .vms
                .iter()
                .filter(|vm| !run.has_begun(vm) && self.upkeep.work.get(*vm).is_none())
                .filter_map(|vm| {
                    let row = self.upkeep.vms.get(vm)?;
                    (row.state == VmState::Up).then(|| (self.load_of(row), vm))
                })
                .collect();
            waiting.sort();
            for (index, (load, vm)) in waiting.into_iter().enumerate() {
                let at_work = busy + index;
                if at_work < if load == 0 { pace.unused } else { pace.used } {
                    chosen.push((vm.clone(), id.clone()));
                }
            }
        }
        for (vm, wave) in chosen {
            self.begin_emptying(&vm, VmTask::Maintain(wave));
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

    fn load_of(&self, row: &VmRow) -> u64 {
        row.worker
            .as_ref()
            .and_then(|id| self.workers.get(id))
            .map_or(0, |worker| worker.placed.len() as u64)
    }

    /// Stops lasting tasks on VMs that run empty, as far as each step may miss them.
    fn stop_lasting_on_cordoned(&mut self, now: BootTime) {
        if now < self.interrupt_after {
            return;
        }
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
                if self.may_interrupt(&id, now) {
                    log::info!("event=run_stopped id={id} reason=vm_emptying");
                    self.set_order(&id, Order::STOP);
                }
            }
        }
    }

    /// Returns whether a worker has answered of late; what runs on another may be away.
    fn is_heard(&self, worker: &WorkerId, now: BootTime) -> bool {
        let silent_after = self.settings.silent_after;
        self.workers
            .get(worker)
            .is_some_and(|worker| now.since(worker.answered_at) <= silent_after)
    }

    /// Returns whether a lasting task is at work and few enough others of its step are away.
    fn may_interrupt(&self, id: &TaskId, now: BootTime) -> bool {
        let Some(job) = self.jobs.get(&id.submission) else {
            return false;
        };
        let step = &job.submission.steps[usize::from(id.step)];
        let is_at_work = |task: &crate::Task| {
            task.placement().is_some_and(|placed| {
                matches!(placed.order, Order::Accepted(_))
                    && placed.percent >= 100
                    && self.is_heard(&placed.worker, now)
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
            let is_empty = self.is_surely_empty(work.worker.as_ref());
            let is_pressing = match &work.task {
                VmTask::Maintain(wave) => self.is_behind(wave, now),
                VmTask::Move(_) => false,
            };
            let may_be_cut = worker.is_some_and(|worker| {
                worker.state == WorkerState::InTouch && !self.has_lasting(&worker.placed)
            });
            if work.phase == VmPhase::Emptying && (is_empty || (is_pressing && may_be_cut)) {
                ready.push(vm.clone());
            }
        }
        for vm in ready {
            self.call_once_stored(&vm);
        }
    }

    /// Calls for a move at once, and for maintenance as soon as that is stored: a successor must
    /// know which VMs of a wave may be down.
    fn call_once_stored(&mut self, vm: &VmId) {
        let Some(work) = self.upkeep.work.get_mut(vm) else {
            return;
        };
        let VmTask::Maintain(wave) = &work.task else {
            return self.call(vm);
        };
        let Some(run) = self.upkeep.waves.get_mut(wave) else {
            return;
        };
        if !run.progress.called.iter().any(|called| called.vm == *vm) {
            let worker = work.worker.clone();
            run.progress.called.push(CalledVm {
                vm: vm.clone(),
                worker,
                has_begun: false,
            });
        }
        run.version += 1;
        work.phase = VmPhase::Recording(run.version);
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

    fn has_lasting(&self, tasks: &[TaskId]) -> bool {
        tasks.iter().any(|id| {
            self.jobs
                .get(&id.submission)
                .is_some_and(|job| job.submission.steps[usize::from(id.step)].is_lasting)
        })
    }

    /// Returns whether a wave has less of its VMs begun, or about to, than of its time passed.
    fn is_behind(&self, wave: &WaveId, now: BootTime) -> bool {
        let Some(run) = self.upkeep.waves.get(wave) else {
            return false;
        };
        let usable = run.wave.duration.mul_f64(1.0 - WAVE_RESERVE);
        let passed = now.since(run.since).as_secs_f64() / usable.as_secs_f64().max(0.001);
        let begun = (run.begun() + run.wave.max_down) as f64 / run.wave.vms.len().max(1) as f64;
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
