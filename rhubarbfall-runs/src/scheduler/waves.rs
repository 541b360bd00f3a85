//! Maintenance waves: which VMs are under way, what is stored of them, what operators are told.

use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::storing::WaveRow;
use super::vm_operations::{ActiveOperation, VmOperation, VmPhase};
use crate::encode_wave;

/// How long a VM is under way: until its tasks have ended or lasting ones have moved one by one, and
/// its maintenance.
const VM_CYCLE: Duration = Duration::from_secs(5);

/// How many times as many VMs are under way while they run nothing.
const IDLE_VM_FACTOR: usize = 2;

/// The part of a wave's time that is kept in reserve for its last VMs.
const WAVE_TIME_RESERVE_SHARE: f64 = 0.4;

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
    /// The VMs whose maintenance was called for, sorted.
    pub called: Vec<CalledVm>,
}

impl WaveProgress {
    /// Finds a VM among those called for, or where it belongs among them.
    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.called.binary_search_by(|called| called.vm.cmp(vm))
    }
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
pub(super) struct ActiveWave {
    wave: Wave,
    started_at: BootTime,
    progress: WaveProgress,
    /// Rises with each change that has to be stored.
    version: u64,
    stored_version: u64,
    row: Option<RowVersion>,
    reported_state: Option<WaveState>,
}

/// How many VMs of a wave may be under way at the same time.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaveConcurrency {
    /// When the next one runs tasks.
    pub(super) busy: usize,
    /// When the next one runs nothing.
    pub(super) idle: usize,
}

impl ActiveWave {
    /// Returns the VMs whose maintenance has not begun.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &VmId> {
        self.wave.vms.iter().filter(|vm| !self.has_begun(vm))
    }

    fn has_begun(&self, vm: &VmId) -> bool {
        let position = self.progress.position(vm);
        position.is_ok_and(|index| self.progress.called[index].has_begun)
    }

    /// Returns how many VMs may be under way at the same time: as many as it takes to be in time,
    /// and more of those that nobody uses.
    pub(super) fn concurrency(&self, now: BootTime) -> WaveConcurrency {
        let max_concurrent = self.wave.max_down.max(1);
        let usable = self.wave.duration.mul_f64(1.0 - WAVE_TIME_RESERVE_SHARE);
        let left = usable
            .saturating_sub(now.since(self.started_at))
            .max(VM_CYCLE);
        let needed =
            (self.waiting().count() as f64 * VM_CYCLE.div_duration_f64(left)).ceil() as usize;
        WaveConcurrency {
            busy: needed.clamp(1, max_concurrent),
            idle: (needed * IDLE_VM_FACTOR).clamp(1, max_concurrent),
        }
    }

    /// Returns whether one more VM may go down while this many are.
    pub(super) fn has_room(&self, down: usize) -> bool {
        down < self.wave.max_down.max(1)
    }

    /// Returns whether nothing is left to do, and operators know.
    pub(super) fn is_reported_completed(&self) -> bool {
        self.reported_state == Some(WaveState::Completed)
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
        if self.vm_ops.waves.get(&wave.id).is_some() {
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
        let (mut progress, row) = stored.map_or_else(
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
        // Earlier versions stored them in the order of their calls.
        progress.called.sort_by(|one, other| one.vm.cmp(&other.vm));
        let age_ms = unix_ms.saturating_sub(progress.first_seen_unix_ms);
        for called in &progress.called {
            // A call without an answer is made again, once the VM is empty: it may never have been
            // made, and tasks may run there. One that was answered may still be down.
            let phase = if called.has_begun {
                VmPhase::InProgress(now)
            } else {
                VmPhase::Draining
            };
            let active = ActiveOperation {
                operation: VmOperation::Maintain(wave.id.clone()),
                phase,
                worker: called.worker.clone(),
            };
            self.vm_ops.active.insert(called.vm.clone(), active);
        }
        let version = u64::from(row.is_none());
        let active_wave = ActiveWave {
            started_at: now.before(Duration::from_millis(age_ms)),
            progress,
            version,
            stored_version: 0,
            row,
            reported_state: None,
            wave,
        };
        self.vm_ops
            .waves
            .insert(active_wave.wave.id.clone(), active_wave);
    }

    /// Returns the waves whose progress has to be stored.
    pub(super) fn changed_waves(&self) -> Vec<WaveRow> {
        self.vm_ops
            .waves
            .iter()
            .filter(|(_, active_wave)| active_wave.stored_version < active_wave.version)
            .map(|(id, active_wave)| WaveRow {
                id: id.clone(),
                progress: encode_wave(&active_wave.progress),
                replaces: active_wave.row,
                version: active_wave.version,
            })
            .collect()
    }

    /// Notes that a wave's progress is stored, and makes the calls that waited for it.
    pub(super) fn wave_stored(&mut self, stored: &WaveRow, row: RowVersion) {
        let Some(active_wave) = self.vm_ops.waves.get_mut(&stored.id) else {
            return;
        };
        active_wave.stored_version = stored.version;
        active_wave.row = Some(row);
        let ready: Vec<VmId> = self
            .vm_ops
            .active
            .iter()
            .filter(|(_, active)| active.is_for_wave(&stored.id))
            .filter(|(_, active)| {
                matches!(active.phase, VmPhase::Storing(version)
                    if version <= stored.version)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in ready {
            self.send_call(&vm);
        }
    }

    /// Returns the states of waves that have not been reported yet.
    #[must_use]
    pub fn unreported_waves(&self) -> Vec<(WaveId, WaveState)> {
        self.vm_ops
            .waves
            .iter()
            .map(|(id, active_wave)| (id, active_wave, self.wave_state(active_wave)))
            .filter(|(_, active_wave, state)| active_wave.reported_state != Some(*state))
            .map(|(id, _, state)| (id.clone(), state))
            .collect()
    }

    /// Notes that a wave's state was reported.
    pub fn wave_reported(&mut self, id: &WaveId, state: WaveState) {
        if let Some(active_wave) = self.vm_ops.waves.get_mut(id) {
            active_wave.reported_state = Some(state);
            log::info!("event=wave_reported wave={id} state={state:?}");
        }
    }

    fn wave_state(&self, active_wave: &ActiveWave) -> WaveState {
        let is_gone = |vm: &VmId| !self.vm_ops.vms.is_empty() && self.vm_ops.vms.get(vm).is_none();
        if active_wave.waiting().all(is_gone) {
            WaveState::Completed
        } else {
            WaveState::Running
        }
    }

    /// Notes that the maintenance of a VM has begun.
    pub(super) fn mark_maintenance_begun(&mut self, vm: &VmId, wave: &WaveId) {
        if let Some(active_wave) = self.vm_ops.waves.get_mut(wave)
            && let Ok(index) = active_wave.progress.position(vm)
        {
            active_wave.progress.called[index].has_begun = true;
            active_wave.version += 1;
        }
    }

    /// Forgets a call that was surely not carried out: the VM goes on serving, and a new owner must
    /// not repeat the call.
    pub(super) fn remove_call(&mut self, vm: &VmId, wave: &WaveId) {
        if let Some(active_wave) = self.vm_ops.waves.get_mut(wave) {
            active_wave
                .progress
                .called
                .retain(|called| called.vm != *vm);
            active_wave.version += 1;
        }
    }

    /// Returns whether a wave has less of its VMs begun, or about to, than of its time passed.
    pub(super) fn is_behind_schedule(&self, wave: &WaveId, now: BootTime) -> bool {
        let Some(active_wave) = self.vm_ops.waves.get(wave) else {
            return false;
        };
        let usable = active_wave
            .wave
            .duration
            .mul_f64(1.0 - WAVE_TIME_RESERVE_SHARE);
        let passed =
            now.since(active_wave.started_at).as_secs_f64() / usable.as_secs_f64().max(0.001);
        let vms = active_wave.wave.vms.len();
        let begun = vms - active_wave.waiting().count();
        let begun = (begun + active_wave.wave.max_down) as f64 / vms.max(1) as f64;
        passed > begun
    }

    /// Calls for a move at once, and for maintenance as soon as that is stored: a successor must
    /// know which VMs of a wave may be down.
    pub(super) fn call_once_stored(&mut self, vm: &VmId) {
        let Some(active) = self.vm_ops.active.get(vm) else {
            return;
        };
        let VmOperation::Maintain(wave) = &active.operation else {
            return self.send_call(vm);
        };
        let wave = wave.clone();
        if !self.has_room_in_wave(&wave) {
            return;
        }
        let (Some(active_wave), Some(active)) = (
            self.vm_ops.waves.get_mut(&wave),
            self.vm_ops.active.get_mut(vm),
        ) else {
            return;
        };
        if let Err(index) = active_wave.progress.position(vm) {
            let called = CalledVm {
                vm: vm.clone(),
                worker: active.worker.clone(),
                has_begun: false,
            };
            active_wave.progress.called.insert(index, called);
        }
        active_wave.version += 1;
        active.phase = VmPhase::Storing(active_wave.version);
    }
}
