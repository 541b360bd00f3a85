//! Which VMs of a wave leave next.

use rhubarbfall_core::{BootTime, VmId, WaveId, WorkerId};

use super::Scheduler;
use super::upkeep::{VmPhase, VmRow, VmState, VmTask, VmWork};
use crate::StepId;

impl Scheduler {
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
            .waiting()
            .filter(|vm| !self.upkeep.is_busy(vm))
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
            work.is_for_wave(id)
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
        let placed = worker.and_then(|id| self.workers.get(id));
        let placed = placed.map_or(&[][..], |worker| &worker.placed);
        let lasting = placed.iter().filter(|task| self.is_lasting(task));
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
        let mut due: Vec<WorkerId> = self
            .upkeep
            .waves
            .iter()
            .filter(|(_, run)| !run.is_over())
            .flat_map(|(_, run)| run.waiting())
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
        let is_down = |work: &VmWork| work.is_for_wave(id) && work.phase != VmPhase::Emptying;
        let down = self.upkeep.work.iter().filter(|(_, work)| is_down(work));
        let run = self.upkeep.waves.get(id);
        run.is_some_and(|run| run.has_room(down.count()))
    }
}
