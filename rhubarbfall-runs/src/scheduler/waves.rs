//! Maintenance waves: which VMs are under way, what is stored of them, what operators are told.

use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::storing::WaveRow;
use super::upkeep::{VmPhase, VmRow, VmState, VmTask, VmWork};
use crate::{StepId, TaskId, encode_wave};

/// How long a VM is under way: until its tasks have ended or lasting ones have moved one by one, and
/// its maintenance.
const VM_CYCLE: Duration = Duration::from_secs(5);

/// How many times as many VMs are under way while they run nothing.
const UNUSED_FACTOR: usize = 2;

/// The part of a wave's time that is kept in reserve for its last VMs.
const WAVE_RESERVE: f64 = 0.4;

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

#[derive(Debug)]
pub(super) struct WaveRun {
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

impl Scheduler {
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

    /// Notes that the maintenance of a VM has begun.
    pub(super) fn note_begun(&mut self, vm: &VmId, wave: &WaveId) {
        if let Some(run) = self.upkeep.waves.get_mut(wave)
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

    /// Forgets a call that was surely not carried out: the VM goes on serving, and a new owner must
    /// not repeat the call.
    pub(super) fn forget_call(&mut self, vm: &VmId, wave: &WaveId) {
        if let Some(run) = self.upkeep.waves.get_mut(wave) {
            run.progress.called.retain(|called| called.vm != *vm);
            run.version += 1;
        }
    }

    /// Takes the next VMs of each wave out of service. Those with lasting tasks begin first and at
    /// their own pace: each step lets only few of its tasks go at a time, which takes the longest.
    pub(super) fn start_emptying(&mut self, now: BootTime) {
        let waves: Vec<WaveId> = self.upkeep.waves.iter().map(|(id, _)| id.clone()).collect();
        for wave in waves {
            for vm in self.next_of_wave(&wave, now) {
                self.begin_emptying(&vm, VmTask::Maintain(wave.clone()));
            }
        }
    }

    fn next_of_wave(&self, id: &WaveId, now: BootTime) -> Vec<VmId> {
        let Some(run) = self.upkeep.waves.get(id) else {
            return Vec::new();
        };
        let pace = run.pace(now);
        let mut leaving = self.leaving_steps();
        let mut under_way = self.under_way_without_lasting(id);
        let mut waiting: Vec<(u64, &VmId, Vec<StepId>)> = run
            .wave
            .vms
            .iter()
            .filter(|vm| !run.has_begun(vm) && self.upkeep.work.get(*vm).is_none())
            .filter_map(|vm| {
                let row = self.upkeep.vms.get(vm)?;
                let steps = self.lasting_steps_on(row.worker.as_ref());
                (row.state == VmState::Up).then(|| (self.load_of(row), vm, steps))
            })
            .collect();
        waiting.sort();
        let mut chosen = Vec::new();
        for (load, vm, steps) in waiting {
            if steps.is_empty() {
                let limit = if load == 0 { pace.unused } else { pace.used };
                if under_way < limit {
                    under_way += 1;
                    chosen.push(vm.clone());
                }
            } else if steps.iter().any(|step| self.may_leave(step, &leaving)) {
                leaving.extend(steps);
                chosen.push(vm.clone());
            }
        }
        chosen
    }

    /// Counts the VMs of a wave that are under way, less those that lasting tasks still leave.
    fn under_way_without_lasting(&self, id: &WaveId) -> usize {
        let is_counted = |work: &VmWork| {
            work.task == VmTask::Maintain(id.clone())
                && (work.phase != VmPhase::Emptying
                    || self.lasting_steps_on(work.worker.as_ref()).is_empty())
        };
        let works = self.upkeep.work.iter();
        works.filter(|(_, work)| is_counted(work)).count()
    }

    /// Returns the steps of the lasting tasks on VMs that run empty, once a task.
    fn leaving_steps(&self) -> Vec<StepId> {
        let works = self.upkeep.work.iter().map(|(_, work)| work);
        works
            .filter(|work| work.phase == VmPhase::Emptying)
            .flat_map(|work| self.lasting_steps_on(work.worker.as_ref()))
            .collect()
    }

    fn lasting_steps_on(&self, worker: Option<&WorkerId>) -> Vec<StepId> {
        let Some(worker) = worker.and_then(|id| self.workers.get(id)) else {
            return Vec::new();
        };
        let is_lasting = |task: &&TaskId| {
            let job = self.jobs.get(&task.submission);
            job.is_some_and(|job| job.submission.steps[usize::from(task.step)].is_lasting)
        };
        let lasting = worker.placed.iter().filter(is_lasting);
        lasting.map(StepId::of).collect()
    }

    /// Returns whether fewer tasks of a step are about to leave than it may miss.
    fn may_leave(&self, step: &StepId, leaving: &[StepId]) -> bool {
        let may_miss = self.jobs.get(&step.submission).map_or(1, |job| {
            job.submission.steps[usize::from(step.step)].may_miss
        });
        leaving.iter().filter(|other| *other == step).count() < may_miss.max(1) as usize
    }

    /// Returns the workers whose VMs a wave has not taken yet, sorted.
    pub(super) fn workers_due(&self) -> Vec<WorkerId> {
        let is_due = |run: &WaveRun, vm: &VmId| !run.has_begun(vm);
        let mut due: Vec<WorkerId> = self
            .upkeep
            .waves
            .iter()
            .filter(|(_, run)| run.reported != Some(WaveState::Completed))
            .flat_map(|(_, run)| run.wave.vms.iter().filter(|vm| is_due(run, vm)))
            .filter_map(|vm| self.upkeep.vms.get(vm)?.worker.clone())
            .collect();
        due.sort();
        due
    }

    fn load_of(&self, row: &VmRow) -> u64 {
        row.worker
            .as_ref()
            .and_then(|id| self.workers.get(id))
            .map_or(0, |worker| worker.placed.len() as u64)
    }

    /// Returns whether one more VM of a wave may go down: emptied ones wait for their turn.
    pub(super) fn has_room_in_wave(&self, id: &WaveId) -> bool {
        let is_down = |work: &VmWork| {
            work.task == VmTask::Maintain(id.clone()) && work.phase != VmPhase::Emptying
        };
        let down = self.upkeep.work.iter().filter(|(_, work)| is_down(work));
        self.upkeep
            .waves
            .get(id)
            .is_some_and(|run| down.count() < run.wave.max_down.max(1))
    }

    /// Returns whether a wave has less of its VMs begun, or about to, than of its time passed.
    pub(super) fn is_behind(&self, wave: &WaveId, now: BootTime) -> bool {
        let Some(run) = self.upkeep.waves.get(wave) else {
            return false;
        };
        let usable = run.wave.duration.mul_f64(1.0 - WAVE_RESERVE);
        let passed = now.since(run.since).as_secs_f64() / usable.as_secs_f64().max(0.001);
        let begun = (run.begun() + run.wave.max_down) as f64 / run.wave.vms.len().max(1) as f64;
        passed > begun
    }

    /// Calls for a move at once, and for maintenance as soon as that is stored: a successor must
    /// know which VMs of a wave may be down.
    pub(super) fn call_once_stored(&mut self, vm: &VmId) {
        let Some(work) = self.upkeep.work.get(vm) else {
            return;
        };
        let VmTask::Maintain(wave) = &work.task else {
            return self.call(vm);
        };
        let wave = wave.clone();
        if !self.has_room_in_wave(&wave) {
            return;
        }
        let (Some(run), Some(work)) = (
            self.upkeep.waves.get_mut(&wave),
            self.upkeep.work.get_mut(vm),
        ) else {
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
}
