//! Selection of the next VMs to drain for a wave.

use rhubarbfall_core::{BootTime, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::vm_operations::{ActiveOperation, VmOperation, VmPhase, VmRow, VmState};
use crate::StepId;

impl Scheduler {
    /// Drains the next VMs of each wave. Those with long-running tasks start first and are not
    /// counted against the wave's concurrency: each step lets only a few of its tasks move at a
    /// time, which takes the longest.
    pub(super) fn start_wave_drains(&mut self, now: BootTime) {
        let waves: Vec<WaveId> = self.vm_ops.waves.iter().map(|(id, _)| id.clone()).collect();
        for wave in waves {
            for vm in self.next_vms_of_wave(&wave, now) {
                self.begin_drain(&vm, VmOperation::Maintain(wave.clone()), now);
            }
        }
    }

    fn next_vms_of_wave(&self, id: &WaveId, now: BootTime) -> Vec<VmId> {
        let Some(active_wave) = self.vm_ops.waves.get(id) else {
            return Vec::new();
        };
        let concurrency = active_wave.concurrency(now);
        let mut draining = self.draining_steps();
        let mut in_progress = self.in_progress_without_long_running(id);
        let mut waiting: Vec<(u64, &VmId, Vec<StepId>)> = active_wave
            .waiting()
            .filter(|vm| !self.vm_ops.is_busy(vm))
            .filter_map(|vm| {
                let row = self.vm_ops.vms.get(vm)?;
                let steps = self.long_running_steps_on(row.worker.as_ref());
                (row.state == VmState::Up).then(|| (self.placed_tasks_on(row), vm, steps))
            })
            .collect();
        waiting.sort();
        let mut chosen = Vec::new();
        for (load, vm, steps) in waiting {
            if steps.is_empty() {
                let limit = if load == 0 {
                    concurrency.idle
                } else {
                    concurrency.busy
                };
                if in_progress < limit {
                    in_progress += 1;
                    chosen.push(vm.clone());
                }
            } else if steps.iter().any(|step| self.may_drain(step, &draining)) {
                draining.extend(steps);
                chosen.push(vm.clone());
            }
        }
        chosen
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

    fn long_running_steps_on(&self, worker: Option<&WorkerId>) -> Vec<StepId> {
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
