use rhubarbfall_core::{BootTime, WorkerId};

use super::Scheduler;
use crate::{Order, Worker, WorkerReport};

impl Scheduler {
    /// Takes what a worker says of itself. Returns whether it has to be called at a new address.
    pub fn worker_listed(&mut self, report: WorkerReport, now: BootTime) -> bool {
        self.has_news = true;
        let id = report.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            log::info!("event=worker_listed worker={id} service={}", report.service);
            let mut worker = Worker::new(report, now);
            // An earlier owner may have granted it leases until then.
            worker.lease_until = self.inherited_until.unwrap_or_default();
            self.workers.insert(id.clone(), worker);
            self.adopt_inherited(&id);
            return true;
        };
        if report.born_unix_ms < worker.report.born_unix_ms {
            log::debug!("event=worker_entry_outdated worker={id}");
            return false;
        }
        let has_moved = worker.report.address != report.address;
        worker.is_listed = true;
        if worker.report.born_unix_ms < report.born_unix_ms {
            let born_unix_ms = report.born_unix_ms;
            worker.report = report;
            self.worker_reborn(&id, born_unix_ms, now);
            return has_moved;
        }
        if worker.report.is_draining != report.is_draining {
            log::info!(
                "event=worker_draining worker={id} draining={}",
                report.is_draining
            );
        }
        worker.report = report;
        has_moved
    }

    /// Notes that the platform does not list a worker any more.
    pub fn worker_unlisted(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            log::info!("event=worker_unlisted worker={id}");
            worker.is_listed = false;
        }
    }

    /// Stops lasting tasks on workers that are about to leave, so that they start elsewhere.
    pub(super) fn leave_draining(&mut self) {
        let mut leaving = Vec::new();
        for worker in self.workers().filter(|worker| worker.report.is_draining) {
            for task in &worker.placed {
                let Some(job) = self.jobs.get(&task.submission) else {
                    continue;
                };
                let is_running = job
                    .task(task)
                    .and_then(|task| task.placement())
                    .is_some_and(|placed| matches!(placed.order, Order::Accepted(_)));
                if job.step(task).is_lasting && is_running {
                    leaving.push(task.clone());
                }
            }
        }
        for task in leaving {
            log::info!("event=run_stopped id={task} reason=worker_draining");
            self.set_order(&task, Order::STOP);
        }
    }
}
