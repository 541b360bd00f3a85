//! Selection of the next VMs to drain for a wave.

use std::time::Duration;

use rhubarbfall_core::{BootTime, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::pool_plan::vms_left;
use super::vm_operations::{ActiveOperation, VmOperation, VmPhase, VmRow, VmState};
use super::wave_pace::wave_pace;
use crate::StepId;

/// How old the count of the VMs beyond what pools need may be.
const MAX_ROOM_AGE: Duration = Duration::from_millis(300);

/// How many times as many VMs as may be away may be drained or away: while one round is away, the
/// long-running tasks of the next one leave.
const DRAINED_ROUNDS: usize = 2;

/// A VM of a wave that may be drained.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingVm {
    tasks: u64,
    /// Whether pools count on the VM.
    is_in_service: bool,
    /// Whether the VM is in a pool other than the spare one.
    is_in_use: bool,
    vm: VmId,
    /// The step of each long-running task on the VM.
    steps: Vec<StepId>,
}

impl Scheduler {
    /// Drains the next VMs of each wave. Those with long-running tasks start first and are not
    /// counted against the wave's pace: each step lets only a few of its tasks move at a time, which
    /// takes the longest.
    pub(super) fn start_wave_drains(&mut self, now: BootTime) {
        let waves = self.vm_ops.waves.iter();
        let open = waves.filter(|(_, of_wave)| of_wave.waiting().next().is_some());
        let open: Vec<WaveId> = open.map(|(id, _)| id.clone()).collect();
        if open.is_empty() {
            return;
        }
        let mut room = self.room_for_waves(now);
        for wave in open {
            for vm in self.next_vms_of_wave(&wave, &mut room, now) {
                self.begin_drain(&vm, VmOperation::Maintain(wave.clone()), now);
            }
        }
        if let Some((counted, _)) = &mut self.vm_ops.room {
            *counted = room.min(*counted);
        }
    }

    /// Returns the number of VMs that exist beyond what pools need or are about to need.
    fn room_for_waves(&self, now: BootTime) -> usize {
        match self.vm_ops.room {
            Some((room, at)) if now.since(at) <= MAX_ROOM_AGE => room,
            _ => vms_left(&self.pool_loads(now)),
        }
    }

    fn next_vms_of_wave(&mut self, id: &WaveId, room: &mut usize, now: BootTime) -> Vec<VmId> {
        let waiting = self.waiting_vms(id);
        let in_progress = self.in_progress_without_long_running(id);
        let Some(active_wave) = self.vm_ops.waves.get_mut(id) else {
            return Vec::new();
        };
        let load = active_wave.load(in_progress, waiting.len(), *room, now);
        let pace = wave_pace(&load);
        if active_wave.record_pace(load, pace.reason, now) {
            log::info!(
                "event=wave_pace wave={id} reason={:?} more={} not_begun={} waiting={} in_progress={} \
                 max_down={} room={} cycle_ms={} elapsed_ms={} duration_ms={}",
                pace.reason,
                pace.more,
                load.not_begun,
                load.waiting,
                load.in_progress,
                load.max_down,
                load.room,
                load.cycle.as_millis(),
                load.elapsed.as_millis(),
                load.duration.as_millis()
            );
        }
        let mut draining = self.draining_steps();
        let (mut more, mut in_service) = (pace.more, pace.more_in_service);
        let operations = self.vm_ops.active.iter();
        let mut drained = operations.filter(|(_, of)| of.is_for_wave(id)).count();
        let mut chosen = Vec::new();
        for next in waiting {
            if next.steps.is_empty() {
                if more == 0 || next.is_in_service && in_service == 0 {
                    continue;
                }
                more -= 1;
                if next.is_in_service {
                    in_service -= 1;
                    *room = room.saturating_sub(1);
                }
                chosen.push(next.vm);
            } else if in_progress < load.max_down
                && drained < load.max_down * DRAINED_ROUNDS
                && next
                    .steps
                    .iter()
                    .any(|step| self.may_drain(step, &draining))
            {
                draining.extend(next.steps);
                drained += 1;
                chosen.push(next.vm);
            }
        }
        chosen
    }

    /// Returns the VMs of a wave that may be drained, the preferred ones first: those without tasks,
    /// and of these the ones that no pool uses.
    fn waiting_vms(&self, id: &WaveId) -> Vec<WaitingVm> {
        let Some(active_wave) = self.vm_ops.waves.get(id) else {
            return Vec::new();
        };
        let waiting = active_wave.waiting();
        let rows = waiting
            .filter(|vm| !self.vm_ops.is_busy(vm))
            .filter_map(|vm| self.vm_ops.vms.get(vm))
            .filter(|row| row.state == VmState::Up);
        let mut waiting: Vec<WaitingVm> = rows
            .map(|row| {
                let pool = self.config.services.iter().find(|one| one.id == row.pool);
                WaitingVm {
                    tasks: self.placed_tasks_on(row),
                    is_in_service: pool.is_some() && !self.is_in_evacuated_zone(row),
                    is_in_use: pool.is_some_and(|pool| !pool.is_spare),
                    vm: row.vm.clone(),
                    steps: self.long_running_steps_on(row.worker.as_ref()),
                }
            })
            .collect();
        waiting.sort();
        waiting
    }

    /// Counts the VMs of a wave with an active operation, except those that long-running tasks have
    /// yet to leave.
    fn in_progress_without_long_running(&self, id: &WaveId) -> usize {
        let is_counted = |active: &ActiveOperation| {
            active.is_for_wave(id)
                && (active.phase != VmPhase::Draining
                    || self
                        .long_running_steps_on(active.worker.as_ref())
                        .is_empty())
        };
        let operations = self.vm_ops.active.iter();
        operations.filter(|(_, active)| is_counted(active)).count()
    }

    /// Returns the step of each long-running task on a draining VM, once per task.
    fn draining_steps(&self) -> Vec<StepId> {
        let operations = self.vm_ops.active.iter().map(|(_, active)| active);
        operations
            .filter(|active| active.phase == VmPhase::Draining)
            .flat_map(|active| self.long_running_steps_on(active.worker.as_ref()))
            .collect()
    }

    pub(super) fn long_running_steps_on(&self, worker: Option<&WorkerId>) -> Vec<StepId> {
        let placed = worker.and_then(|id| self.workers.get(id));
        let placed = placed.map_or(&[][..], |worker| &worker.placed);
        let long_running = placed.iter().filter(|task| self.is_long_running(task));
        long_running.map(StepId::of).collect()
    }

    /// Returns whether fewer than `max_unavailable` tasks of a step are on draining VMs.
    fn may_drain(&self, step: &StepId, draining: &[StepId]) -> bool {
        let max_unavailable = self.jobs.get(&step.submission).map_or(1, |job| {
            job.submission.steps[usize::from(step.step)].max_unavailable
        });
        draining.iter().filter(|other| *other == step).count() < max_unavailable.max(1) as usize
    }

    /// Returns the workers on VMs that are still due for maintenance in a wave, sorted.
    pub(super) fn workers_awaiting_wave(&self) -> Vec<WorkerId> {
        let mut awaiting: Vec<WorkerId> = self
            .vm_ops
            .waves
            .iter()
            .filter(|(_, active_wave)| !active_wave.is_reported_completed())
            .flat_map(|(_, active_wave)| active_wave.waiting())
            .filter_map(|vm| self.vm_ops.vms.get(vm)?.worker.clone())
            .collect();
        awaiting.sort();
        awaiting
    }

    fn placed_tasks_on(&self, row: &VmRow) -> u64 {
        row.worker
            .as_ref()
            .and_then(|id| self.workers.get(id))
            .map_or(0, |worker| worker.placed.len() as u64)
    }

    /// Returns whether a VM of a wave may go down beside the others that may be down; drained VMs
    /// wait for their turn. A VM that is listed under maintenance counts, whoever called for it.
    pub(super) fn has_room_in_wave(&self, id: &WaveId, next: &VmId) -> bool {
        let active_wave = self.vm_ops.waves.get(id);
        active_wave.is_some_and(|of_wave| of_wave.has_room(self.down_for_wave(id, Some(next))))
    }

    /// Returns whether a VM may be down for a wave.
    pub(super) fn may_be_down_for(&self, id: &WaveId, vm: &VmId) -> bool {
        let active = self.vm_ops.active.get(vm);
        active.is_some_and(|active| active.is_for_wave(id) && active.may_be_down())
    }

    /// Counts the VMs that may be down for a wave, without `except`.
    pub(super) fn down_for_wave(&self, id: &WaveId, except: Option<&VmId>) -> usize {
        let Some(active_wave) = self.vm_ops.waves.get(id) else {
            return 0;
        };
        let operations = self.vm_ops.active.iter();
        let called = operations.filter(|(vm, active)| {
            Some(*vm) != except && active.is_for_wave(id) && active.may_be_down()
        });
        let listed = self.vm_ops.vms().filter(|row| {
            row.state == VmState::Maintenance
                && !self.vm_ops.is_busy(&row.vm)
                && active_wave.contains(&row.vm)
        });
        called.count() + listed.count()
    }
}
