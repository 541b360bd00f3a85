//! Lasting tasks on VMs that have to run empty are moved one by one.

use rhubarbfall_core::{BootTime, WorkerId};

use super::Scheduler;
use super::upkeep::VmPhase;
use crate::{Order, TaskId};

impl Scheduler {
    /// Stops lasting tasks on VMs that run empty, as far as each step may miss them.
    pub(super) fn stop_lasting_on_cordoned(&mut self, now: BootTime) {
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
        let step = job.step(id);
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
}
