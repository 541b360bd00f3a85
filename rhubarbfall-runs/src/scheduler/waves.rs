//! Maintenance waves: their schedule, stored progress and reported state.

use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::storing::WaveRow;
use super::vm_operations::{ActiveOperation, VmOperation, VmPhase};
use super::wave_pace::{PaceReason, VmCycle, WaveLoad, is_too_late_to_wait};
use crate::lending::CompletedWave;
use crate::row_size::{encode_wave_within, vm_digest};

/// The interval between log entries about the pace of a wave.
const PACE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of waves whose progress one batch stores, which leaves most of a transaction
/// to jobs.
const MAX_WAVES_PER_BATCH: usize = 10;

/// A request to maintain a set of VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct Wave {
    /// The identifier of the wave.
    pub id: WaveId,
    /// The VMs to maintain.
    pub vms: Vec<VmId>,
    /// The time allowed for the wave.
    pub duration: Duration,
    /// The maximum number of VMs that may be down for the wave at the same time.
    pub max_down: usize,
    /// The version of the row with the request, which an operator may write again.
    pub version: RowVersion,
}

/// The progress of a wave, stored before a call is made and after it was answered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// When the wave was first seen, in milliseconds since 1970.
    pub first_seen_unix_ms: u64,
    /// The VMs whose maintenance was called for, sorted by identifier.
    pub called: Vec<CalledVm>,
    /// Digests of further VMs whose maintenance has begun and that are back, as a row holds them
    /// whose names would not fit.
    pub returned_digests: Vec<u64>,
}

impl WaveProgress {
    /// Returns the index of a VM in `called`, or the index at which to insert it.
    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.called.binary_search_by(|called| called.vm.cmp(vm))
    }
}

/// A VM whose maintenance was called for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CalledVm {
    /// The identifier of the VM.
    pub vm: VmId,
    /// The worker on the VM when its operation started.
    pub worker: Option<WorkerId>,
    /// Whether the call succeeded.
    pub has_begun: bool,
}

/// The reported state of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveState {
    /// VMs of the wave are waiting for maintenance.
    Running,
    /// The maintenance of every VM has begun.
    Completed,
}

#[derive(Debug)]
pub(super) struct ActiveWave {
    wave: Wave,
    /// The VMs of the wave that are maintained by this cell.
    vms: Vec<VmId>,
    /// How many VMs of this cell may be down for the wave at the same time.
    max_down: usize,
    /// When this owner learned of the request.
    requested_at: BootTime,
    started_at: BootTime,
    progress: WaveProgress,
    /// The VMs that are back from their maintenance, sorted.
    returned: Vec<VmId>,
    /// How long the VMs of the wave are out of service.
    cycle: VmCycle,
    /// What the pace was decided from last.
    last_load: Option<WaveLoad>,
    /// The reason for the pace that was logged last, and when.
    logged_pace: Option<(PaceReason, BootTime)>,
    /// The version of the progress, which increases with each change that has to be stored.
    version: u64,
    stored_version: u64,
    row: Option<RowVersion>,
    reported_state: Option<WaveState>,
}

impl ActiveWave {
    pub(super) fn contains(&self, vm: &VmId) -> bool {
        self.wave.vms.contains(vm)
    }

    /// Returns the VMs whose maintenance has not begun.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &VmId> {
        self.vms.iter().filter(|vm| !self.has_begun(vm))
    }

    fn has_begun(&self, vm: &VmId) -> bool {
        let position = self.progress.position(vm);
        position.is_ok_and(|index| self.progress.called[index].has_begun)
    }

    fn encode(&self, max_bytes: usize) -> Vec<u8> {
        let is_returned = |vm: &VmId| self.returned.binary_search(vm).is_ok();
        encode_wave_within(&self.progress, is_returned, max_bytes)
    }

    /// Returns what is left of the wave, with these VMs in progress and waiting.
    pub(super) fn load(
        &self,
        in_progress: usize,
        waiting: usize,
        room: usize,
        now: BootTime,
    ) -> WaveLoad {
        WaveLoad {
            vms: self.vms.len(),
            not_begun: self.waiting().count(),
            waiting,
            in_progress,
            max_down: self.max_down,
            elapsed: now.since(self.started_at),
            duration: self.wave.duration,
            cycle: self.cycle.mean(),
            room,
        }
    }

    /// Records how long a VM was out of service.
    pub(super) fn add_cycle(&mut self, took: Duration) {
        self.cycle.add(took);
    }

    /// Records what the pace was decided from, and returns whether that is to be logged: when the reason
    /// has changed, and from time to time.
    pub(super) fn record_pace(
        &mut self,
        load: WaveLoad,
        reason: PaceReason,
        now: BootTime,
    ) -> bool {
        self.last_load = Some(load);
        let is_due = self
            .logged_pace
            .is_none_or(|(logged, at)| logged != reason || now.since(at) >= PACE_LOG_INTERVAL);
        if is_due {
            self.logged_pace = Some((reason, now));
        }
        is_due
    }

    /// Returns whether one more VM may go down while `down` VMs are down.
    pub(super) fn has_room(&self, down: usize) -> bool {
        down < self.max_down
    }

    /// Returns whether completion has been reported, after which nothing remains to be done.
    pub(super) fn is_reported_completed(&self) -> bool {
        self.reported_state == Some(WaveState::Completed)
    }
}

impl Scheduler {
    /// Returns what the pace of each wave with VMs left to maintain was decided from last.
    pub fn wave_loads(&self) -> impl Iterator<Item = (&WaveId, &WaveLoad)> {
        let waves = self.vm_ops.waves.iter();
        let open = waves.filter(|(_, of_wave)| of_wave.waiting().next().is_some());
        open.filter_map(|(id, of_wave)| Some((id, of_wave.last_load.as_ref()?)))
    }

    /// Records the progress of waves that an earlier owner has stored, with `None` for a row that
    /// cannot be read. Nothing is done for such a wave, because the VMs that are down for it are
    /// unknown.
    pub fn recover_waves(
        &mut self,
        waves: impl IntoIterator<Item = (WaveId, Option<(WaveProgress, RowVersion)>)>,
    ) {
        self.recovered_waves.extend(waves);
    }

    /// Adds a wave, with the progress that an earlier owner stored for it, or follows a newer request
    /// for a known one.
    pub fn wave_requested(
        &mut self,
        wave: Wave,
        stored: Option<(WaveProgress, RowVersion)>,
        now: BootTime,
        unix_ms: u64,
    ) {
        if let Some(known) = self.vm_ops.waves.get(&wave.id) {
            if known.wave.version < wave.version {
                self.change_wave(wave, now, unix_ms);
            }
            return;
        }
        let stored = match self.recovered_waves.get(&wave.id) {
            Some(None) => {
                log::error!("event=wave_ignored wave={}", wave.id);
                return;
            }
            Some(Some(_)) => self.recovered_waves.remove(&wave.id).flatten(),
            None => stored,
        };
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
        // Earlier versions stored the VMs in the order of their calls.
        progress.called.sort_by(|one, other| one.vm.cmp(&other.vm));
        let returned = restore_returned(&mut progress, &wave.vms);
        let age_ms = unix_ms.saturating_sub(progress.first_seen_unix_ms);
        let is_out = |called: &&CalledVm| returned.binary_search(&called.vm).is_err();
        for called in progress.called.iter().filter(is_out) {
            // An unanswered call is repeated once the VM is drained: it may never have been made,
            // and tasks may run on the VM. After an answered call the VM may still be down.
            let phase = if called.has_begun {
                VmPhase::InProgress(now)
            } else {
                VmPhase::Draining
            };
            let active = ActiveOperation {
                operation: VmOperation::Maintain(wave.id.clone()),
                since: now,
                phase,
                worker: called.worker.clone(),
                has_unanswered_call: !called.has_begun,
                was_listed_away: false,
                shows_cycle: false,
            };
            self.vm_ops.active.insert(called.vm.clone(), active);
        }
        let version = u64::from(row.is_none());
        let max_down = self.wave_share(&wave.id, wave.max_down);
        let active_wave = ActiveWave {
            vms: self.own_vms(&wave, &progress),
            max_down,
            requested_at: now,
            started_at: now.before(Duration::from_millis(age_ms)),
            progress,
            returned,
            cycle: VmCycle::default(),
            last_load: None,
            logged_pace: None,
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

    /// Follows a request that was written again. VMs whose maintenance has begun are not maintained
    /// again, and the time allowed begins anew for the others.
    fn change_wave(&mut self, wave: Wave, now: BootTime, unix_ms: u64) {
        log::info!(
            "event=wave_changed wave={} vms={} max_down={} duration={:?} version={}",
            wave.id,
            wave.vms.len(),
            wave.max_down,
            wave.duration,
            wave.version
        );
        let max_down = self.wave_share(&wave.id, wave.max_down);
        let Some(mut active_wave) = self.vm_ops.waves.remove(&wave.id) else {
            return;
        };
        let is_same = (&wave.vms, wave.duration, wave.max_down)
            == (
                &active_wave.wave.vms,
                active_wave.wave.duration,
                active_wave.wave.max_down,
            );
        if !is_same {
            active_wave.started_at = now;
            active_wave.progress.first_seen_unix_ms = unix_ms;
            active_wave.version += 1;
        }
        active_wave.vms = self.own_vms(&wave, &active_wave.progress);
        active_wave.max_down = max_down;
        active_wave.requested_at = now;
        let is_withdrawn = |vm: &VmId, active: &ActiveOperation| {
            active.is_for_wave(&wave.id) && !active.may_be_down() && !wave.vms.contains(vm)
        };
        self.vm_ops
            .active
            .retain(|vm, active| !is_withdrawn(vm, active));
        self.needs_placement = true;
        let id = wave.id.clone();
        active_wave.wave = wave;
        self.vm_ops.waves.insert(id, active_wave);
    }

    /// Returns the VMs of a wave that this cell maintains: all of them in an undivided fleet, else those
    /// that are listed for the cell or that an owner of it has called for.
    fn own_vms(&self, wave: &Wave, progress: &WaveProgress) -> Vec<VmId> {
        if self.settings.cells == 1 {
            return wave.vms.clone();
        }
        let is_own = |vm: &&VmId| self.vm_ops.vms.is_listed(vm) || progress.position(vm).is_ok();
        wave.vms.iter().filter(is_own).cloned().collect()
    }

    /// Updates the VMs of waves after the list of VMs has changed.
    pub(super) fn update_wave_vms(&mut self) {
        if self.settings.cells == 1 {
            return;
        }
        let waves = self.vm_ops.waves.iter();
        let own = waves.map(|(_, of_wave)| self.own_vms(&of_wave.wave, &of_wave.progress));
        let own: Vec<Vec<VmId>> = own.collect();
        for ((_, of_wave), vms) in self.vm_ops.waves.iter_mut().zip(own) {
            of_wave.vms = vms;
        }
    }

    /// Updates how many VMs of waves may be down in this cell.
    pub(super) fn update_wave_shares(&mut self) {
        let waves = self.vm_ops.waves.iter();
        let shares = waves.map(|(id, of_wave)| self.wave_share(id, of_wave.wave.max_down));
        let shares: Vec<usize> = shares.collect();
        for ((_, of_wave), share) in self.vm_ops.waves.iter_mut().zip(shares) {
            of_wave.max_down = share;
        }
    }

    /// Returns the waves that are not complete in all cells, as far as this one knows, each with the
    /// VMs that may be down for it.
    pub(super) fn open_waves(&self) -> impl Iterator<Item = (WaveId, usize)> {
        let waves = self.vm_ops.waves.iter();
        let is_over = |of_wave: &ActiveWave| {
            of_wave.is_reported_completed() || self.wave_state(of_wave) == WaveState::Completed
        };
        let open = waves.filter(move |(_, of_wave)| !is_over(of_wave));
        open.map(|(id, of_wave)| (id.clone(), of_wave.wave.max_down))
    }

    /// Returns how many VMs of this cell may be down for a wave, and how many others wait for it.
    pub(super) fn wave_use(&self, id: &WaveId) -> (usize, usize) {
        let Some(of_wave) = self.vm_ops.waves.get(id) else {
            return (0, 0);
        };
        let is_listed = |vm: &&VmId| self.vm_ops.vms.get(vm).is_some();
        let waiting = of_wave.waiting().filter(is_listed);
        let waiting = waiting.filter(|vm| !self.may_be_down_for(id, vm)).count();
        (self.down_for_wave(id, None), waiting)
    }

    /// Returns the waves of which no VM of this cell is left to maintain, sorted.
    pub(super) fn completed_waves(&self) -> Vec<CompletedWave> {
        let waves = self.vm_ops.waves.iter();
        let completed = waves.filter(|(_, of_wave)| self.is_own_part_completed(of_wave));
        let completed = completed.map(|(id, of_wave)| CompletedWave {
            id: id.clone(),
            version: of_wave.wave.version,
        });
        completed.collect()
    }

    /// Returns waves with unstored progress, those first that were not stored for longest.
    pub(super) fn changed_waves(&self) -> Vec<WaveRow> {
        let is_changed = |wave: &ActiveWave| wave.stored_version < wave.version;
        let waves = self.vm_ops.waves.iter();
        let mut changed: Vec<_> = waves.filter(|(_, wave)| is_changed(wave)).collect();
        changed.sort_by_key(|(_, wave)| wave.row);
        changed
            .into_iter()
            .take(MAX_WAVES_PER_BATCH)
            .map(|(id, active_wave)| WaveRow {
                id: id.clone(),
                progress: active_wave.encode(self.settings.max_row_bytes),
                replaces: active_wave.row,
                version: active_wave.version,
            })
            .collect()
    }

    /// Records that a wave's progress is stored, and makes the calls that waited for it.
    pub(super) fn wave_stored(&mut self, stored: &WaveRow, row: RowVersion, now: BootTime) {
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
            self.send_call(&vm, now);
        }
    }

    /// Returns the waves whose current state has not been reported yet, with that state.
    #[must_use]
    pub fn unreported_waves(&self) -> Vec<(WaveId, WaveState)> {
        if !self.reports_waves() {
            return Vec::new();
        }
        self.vm_ops
            .waves
            .iter()
            .map(|(id, active_wave)| (id, active_wave, self.wave_state(active_wave)))
            .filter(|(_, active_wave, state)| active_wave.reported_state != Some(*state))
            .map(|(id, _, state)| (id.clone(), state))
            .collect()
    }

    /// Returns the version of the request for a wave that its state is about.
    #[must_use]
    pub fn wave_version(&self, id: &WaveId) -> Option<RowVersion> {
        let of_wave = self.vm_ops.waves.get(id)?;
        Some(of_wave.wave.version)
    }

    /// Records that a wave's state was reported.
    pub fn wave_reported(&mut self, id: &WaveId, state: WaveState) {
        let Some(active_wave) = self.vm_ops.waves.get_mut(id) else {
            return;
        };
        active_wave.reported_state = Some(state);
        let requested_at = active_wave.requested_at;
        let is_unlisted = |vm: &&VmId| self.vm_ops.vms.get(vm).is_none();
        let list_requested_at = self.vm_ops.vms.requested_at();
        log::info!(
            "event=wave_reported wave={id} state={state:?} not_begun={} not_begun_unlisted={} \
             list_after_request_ms={:?}",
            active_wave.waiting().count(),
            active_wave.waiting().filter(is_unlisted).count(),
            list_requested_at.map(|listed| signed_ms_between(requested_at, listed))
        );
    }

    fn wave_state(&self, active_wave: &ActiveWave) -> WaveState {
        let wave = &active_wave.wave;
        if self.is_own_part_completed(active_wave) && self.is_completed_elsewhere(wave) {
            WaveState::Completed
        } else {
            WaveState::Running
        }
    }

    /// Returns whether no VM of this cell is left to maintain for a wave. The VMs existed when the
    /// wave was requested, and only lists from after that tell a cell which ones are its own.
    fn is_own_part_completed(&self, active_wave: &ActiveWave) -> bool {
        let list = &self.vm_ops.vms;
        let requested_at = active_wave.requested_at;
        let knows_own = self.settings.cells == 1 || list.is_newer_than(requested_at);
        let is_gone = |vm: &VmId| list.is_gone_since(vm, requested_at);
        knows_own && active_wave.waiting().all(is_gone)
    }

    /// Records that the maintenance of a VM has begun.
    pub(super) fn mark_maintenance_begun(&mut self, vm: &VmId, wave: &WaveId) {
        if let Some(active_wave) = self.vm_ops.waves.get_mut(wave)
            && let Ok(index) = active_wave.progress.position(vm)
        {
            active_wave.progress.called[index].has_begun = true;
            active_wave.version += 1;
        }
    }

    /// Records that a VM is back from its maintenance.
    pub(super) fn mark_returned(&mut self, vm: &VmId, wave: &WaveId) {
        if let Some(active_wave) = self.vm_ops.waves.get_mut(wave)
            && let Err(index) = active_wave.returned.binary_search(vm)
        {
            active_wave.returned.insert(index, vm.clone());
        }
    }

    /// Removes a call that was certainly not carried out: the VM stays in service, and a new owner
    /// must not repeat the call.
    pub(super) fn remove_call(&mut self, vm: &VmId, wave: &WaveId) {
        if let Some(active_wave) = self.vm_ops.waves.get_mut(wave) {
            active_wave
                .progress
                .called
                .retain(|called| called.vm != *vm);
            active_wave.version += 1;
        }
    }

    /// Returns whether a wave is so late that it does not wait for tasks to end.
    pub(super) fn is_behind_schedule(&self, wave: &WaveId, now: BootTime) -> bool {
        let Some(active_wave) = self.vm_ops.waves.get(wave) else {
            return false;
        };
        is_too_late_to_wait(&active_wave.load(0, 0, 0, now))
    }

    /// Calls for a move immediately, and for maintenance once the call is stored: a successor must
    /// know which VMs of a wave may be down.
    pub(super) fn call_once_stored(&mut self, vm: &VmId, now: BootTime) {
        let Some(active) = self.vm_ops.active.get(vm) else {
            return;
        };
        let VmOperation::Maintain(wave) = &active.operation else {
            return self.send_call(vm, now);
        };
        let wave = wave.clone();
        if !self.has_room_in_wave(&wave, vm) {
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

/// Returns the milliseconds from one time to another, negative if that is earlier.
fn signed_ms_between(from: BootTime, to: BootTime) -> i128 {
    to.since(from).as_millis().cast_signed() - from.since(to).as_millis().cast_signed()
}

/// Moves the VMs that a row holds as digests to the called ones, and returns them, sorted.
fn restore_returned(progress: &mut WaveProgress, vms: &[VmId]) -> Vec<VmId> {
    let mut digests = std::mem::take(&mut progress.returned_digests);
    digests.sort_unstable();
    let is_restored = |vm: &&VmId| digests.binary_search(&vm_digest(vm)).is_ok();
    let mut returned: Vec<VmId> = vms.iter().filter(is_restored).cloned().collect();
    returned.sort();
    for vm in &returned {
        if let Err(index) = progress.position(vm) {
            let called = CalledVm {
                vm: vm.clone(),
                worker: None,
                has_begun: true,
            };
            progress.called.insert(index, called);
        }
    }
    returned
}
