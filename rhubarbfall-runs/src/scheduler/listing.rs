use rhubarbfall_core::{BootTime, WorkerId};

use super::Scheduler;
use crate::{RunState, Worker, WorkerReport};

impl Scheduler {
    /// Adds or updates a worker from the platform's list. Returns whether the worker must be called
    /// at a new address.
    pub fn worker_listed(&mut self, report: WorkerReport, now: BootTime) -> bool {
        self.needs_placement = true;
        let id = report.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            log::info!("event=worker_listed worker={id} service={}", report.service);
            let mut worker = Worker::new(report, now);
            // An earlier owner may have granted the worker leases that last until then.
            worker.lease_expiry = self.inherited_lease_expiry.unwrap_or_default();
            self.workers.insert(id.clone(), worker);
            self.reserve_inherited(&id);
            self.cordon_new_worker(&id);
            return true;
        };
        let incarnation_unix_ms = report.incarnation_unix_ms;
        if incarnation_unix_ms < worker.report.incarnation_unix_ms
            || worker.has_ended(incarnation_unix_ms)
        {
            log::debug!("event=worker_entry_outdated worker={id}");
            return false;
        }
        let has_moved = worker.report.address != report.address;
        worker.is_listed = true;
        let known = worker.report.incarnation_unix_ms;
        if known < incarnation_unix_ms {
            worker.report = WorkerReport {
                incarnation_unix_ms: known,
                ..report
            };
            self.worker_restarted(&id, incarnation_unix_ms, now);
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

    /// Records that the platform no longer lists a worker.
    pub fn worker_unlisted(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            log::info!("event=worker_unlisted worker={id}");
            worker.is_listed = false;
        }
    }

    /// Stops long-running tasks on workers that are about to leave, so that the tasks start
    /// elsewhere.
    pub(super) fn stop_long_running_on_draining(&mut self) {
        let mut to_stop = Vec::new();
        for worker in self.workers().filter(|worker| worker.report.is_draining) {
            for task in &worker.placed {
                let Some(job) = self.jobs.get(&task.submission) else {
                    continue;
                };
                let is_running = job
                    .task(task)
                    .and_then(|task| task.placement())
                    .is_some_and(|placed| matches!(placed.state, RunState::Accepted(_)));
                if job.step(task).is_long_running && is_running {
                    to_stop.push(task.clone());
                }
            }
        }
        for task in to_stop {
            log::info!("event=run_stopped id={task} reason=worker_draining");
            self.set_run_state(&task, RunState::STOP_REQUESTED);
        }
    }
}
