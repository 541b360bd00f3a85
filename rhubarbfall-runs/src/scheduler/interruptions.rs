//! Interruption of long-running tasks on VMs that are being drained, a limited number per step at a
//! time.

use rhubarbfall_core::{BootTime, WorkerId};

use super::Scheduler;
use super::vm_operations::VmPhase;
use crate::{RunState, TaskId};

impl Scheduler {
    /// Stops long-running tasks on draining VMs, as far as their steps' `max_unavailable` allows.
    pub(super) fn stop_long_running_on_cordoned(&mut self, now: BootTime) {
        if now < self.interrupt_after {
            return;
        }
        let workers: Vec<WorkerId> = self
            .vm_ops
            .active
            .iter()
            .filter(|(_, active)| active.phase == VmPhase::Draining)
            .filter_map(|(_, active)| active.worker.clone())
            .collect();
        for worker in workers {
            let placed = self
                .workers
                .get(&worker)
                .map(|worker| worker.placed.clone());
            for id in placed.unwrap_or_default() {
                if self.may_interrupt(&id, 0, now) {
                    log::info!("event=run_stopped id={id} reason=vm_draining");
                    self.set_run_state(&id, RunState::STOP_REQUESTED);
                }
            }
        }
    }

    /// Returns whether a worker has answered recently; runs on other workers may have ended.
    pub(super) fn is_reachable(&self, worker: &WorkerId, now: BootTime) -> bool {
        let unreachable_after = self.settings.unreachable_after;
        self.workers
            .get(worker)
            .is_some_and(|worker| now.since(worker.answered_at) <= unreachable_after)
    }

    /// Returns whether a long-running task is available and fewer than `max_unavailable` tasks of
    /// its step are not, beside `interrupted` others that are about to be stopped.
    pub(super) fn may_interrupt(&self, id: &TaskId, interrupted: usize, now: BootTime) -> bool {
        let Some(job) = self.jobs.get(&id.submission) else {
            return false;
        };
        let step = job.step(id);
        let is_available = |task: &crate::Task| {
            task.placement().is_some_and(|placed| {
                matches!(placed.state, RunState::Accepted(_))
                    && placed.progress_percent >= 100
                    && self.is_reachable(&placed.worker, now)
            })
        };
        if !step.is_long_running || !job.task(id).is_some_and(is_available) {
            return false;
        }
        let tasks = job
            .occurrence(id.occurrence)
            .map(|occurrence| &occurrence.steps[usize::from(id.step)].tasks);
        let unavailable = tasks.map_or(0, |tasks| {
            tasks.iter().filter(|task| !is_available(task)).count()
        });
        unavailable + interrupted < step.max_unavailable.max(1) as usize
    }
}
