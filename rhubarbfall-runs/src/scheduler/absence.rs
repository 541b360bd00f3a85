//! Log lines for long-running tasks that do not run, each with what it waits for: their customers
//! see an outage that no other event explains.

use std::time::Duration;

use rhubarbfall_core::BootTime;

use super::Scheduler;
use crate::{Job, RunState, StepId, Task, TaskId, TaskPhase};

/// The interval between lines about the same task.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of lines in one interval.
const MAX_LINES: usize = 20;

impl Scheduler {
    /// Logs the long-running tasks that do not run, if a line is due.
    pub(super) fn log_absent(&mut self, now: BootTime) {
        if now.since(self.absence_logged_at) < LOG_INTERVAL {
            return;
        }
        self.absence_logged_at = now;
        let is_absent = |task: &Task| {
            let state = task.placement().map(|placed| placed.state);
            !matches!(state, Some(RunState::Accepted(_)))
        };
        let jobs = self.jobs.active();
        let lasting = jobs.filter(|job| job.submission.is_long_running());
        let absent = lasting.flat_map(|job| {
            let ids = job.tasks_where(is_absent).into_iter();
            ids.filter(|id| job.step(id).is_long_running)
                .map(move |id| (job, id))
        });
        for (job, id) in absent.take(MAX_LINES) {
            log::info!(
                "event=long_running_absent id={id} {}",
                self.absence_cause(job, &id, now)
            );
        }
    }

    fn absence_cause(&self, job: &Job, id: &TaskId, now: BootTime) -> String {
        let Some(task) = job.task(id) else {
            return "cause=not_due".to_owned();
        };
        let TaskPhase::Placed(placed) = &task.phase else {
            return format!(
                "cause=waiting runs={} demand={} obstacle={}",
                task.last_run,
                job.step(id).demand,
                self.obstacle(job, &StepId::of(id), now)
            );
        };
        let inherited_ms = self.inherited_leases_remaining(now).as_millis();
        let Some(worker) = self.workers.get(&placed.worker) else {
            return format!(
                "cause=worker_unlisted run={} worker={} inherited_lease_ms={inherited_ms}",
                placed.run, placed.worker
            );
        };
        format!(
            "cause=placed run={} worker={} state={:?} worker_state={:?} silent_ms={} lease_ms={} \
             inherited_lease_ms={inherited_ms}",
            placed.run,
            placed.worker,
            placed.state,
            worker.state,
            now.since(worker.answered_at).as_millis(),
            worker.lease_expiry.since(now).as_millis()
        )
    }
}
