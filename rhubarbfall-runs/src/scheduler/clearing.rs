//! Follows the runs of ended jobs until the last one is over.

use std::time::Duration;

use rhubarbfall_core::{BootTime, SubmissionId, WorkerId};

use super::Scheduler;
use crate::{ActiveRun, Job, JobState};

/// How long a run may go on after the end of its job before that is logged: two attempts to stop
/// it, and the time that a worker takes to stop a run.
const EXPECTED_STOP_TIME: Duration = Duration::from_secs(2);

/// A job whose last run has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClearedJob {
    /// The final state of the job.
    pub state: JobState,
    /// The time from the decision on the final state to the end of the last run.
    pub took: Duration,
}

impl Scheduler {
    /// Returns and clears the jobs whose last run has ended since the previous call.
    pub fn take_cleared_jobs(&mut self) -> Vec<ClearedJob> {
        std::mem::take(&mut self.cleared_jobs)
    }

    /// Records that no run of an ended job is left, once that is so.
    pub(super) fn record_cleared(&mut self, id: &SubmissionId, now: BootTime) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(finished_at) = job.finished_at.filter(|_| !job.is_cleared) else {
            return;
        };
        if !job
            .tasks_where(|task| task.placement().is_some())
            .is_empty()
        {
            return;
        }
        job.is_cleared = true;
        job.forget_tasks_if_over();
        let took = now.since(finished_at);
        log::info!(
            "event=job_cleared id={id} state={} took_ms={}",
            job.state,
            took.as_millis()
        );
        let state = job.state;
        self.cleared_jobs.push(ClearedJob { state, took });
    }
}

/// Logs a run that a worker still reports long after the end of its job, with what this owner
/// believes of the task.
pub(super) fn log_late_run(job: &Job, running: &ActiveRun, worker: &WorkerId, now: BootTime) {
    let Some(finished_at) = job.finished_at else {
        return;
    };
    let age = now.since(finished_at);
    if age > EXPECTED_STOP_TIME {
        log::warn!(
            "event=ended_job_run_reported id={} run={} worker={worker} state={} age_ms={} phase={:?}",
            running.task,
            running.run,
            job.state,
            age.as_millis(),
            job.task(&running.task).map(|task| &task.phase)
        );
    }
}
