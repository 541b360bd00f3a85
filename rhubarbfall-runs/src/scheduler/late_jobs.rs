//! Tells where the time of a job went that completed later than its objective.

use rhubarbfall_core::BootTime;

use super::Scheduler;
use super::ordering::objective;
use crate::{FleetConfig, Job, JobState, Stage, TaskId};

impl Scheduler {
    /// Counts the time since the last event of a task's job for `stage`.
    pub(super) fn end_stage(&mut self, id: &TaskId, stage: Stage, now: BootTime) {
        if let Some(job) = self.jobs.get_mut(&id.submission) {
            job.stages.end(stage, now);
        }
    }
}

/// Logs a completed job without a schedule whose end was stored later than its objective.
pub(super) fn log_if_late(job: &Job, config: &FleetConfig, now: BootTime) {
    let Some(queue) = config.queue(&job.submission.queue) else {
        return;
    };
    let took = now.since(job.accepted_at);
    let allowed = objective(job.critical_path, queue);
    if job.state == JobState::Completed && job.submission.schedule.is_none() && took > allowed {
        log::info!(
            "event=job_late id={} queue={} took_ms={} allowed_ms={} {}",
            job.submission.id,
            job.submission.queue,
            took.as_millis(),
            allowed.as_millis(),
            job.stages
        );
    }
}
