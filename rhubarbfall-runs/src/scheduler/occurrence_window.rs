//! Which occurrences of a submission are held in memory.
//!
//! Occurrences begin in their order once they are due, as far ahead of the first one that is not done
//! as the progress row has room for open tasks. Later ones begin as earlier ones end; none is left out.

use std::time::Duration;

use rhubarbfall_core::BootTime;

use super::Scheduler;
use crate::Job;
use crate::record::MAX_DONE_IN_RANGES;
use crate::submission::{MAX_TASKS_AT_ONCE, MAX_TASKS_PER_SUBMISSION};

/// The interval between log entries about withheld occurrences.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of submissions with withheld occurrences that are logged at a time.
const MAX_LOGGED: usize = 20;

/// Returns the first occurrence of a job that has not begun, if it is due.
pub(super) fn next_due(job: &Job, unix_ms: u64) -> Option<u32> {
    let next = job.next_occurrence()?;
    (job.submission.due_unix_ms(next) <= unix_ms).then_some(next)
}

/// Returns whether the next occurrence of a job is one of those that the job needs to go on.
pub(super) fn is_reserved(job: &Job) -> bool {
    (job.occurrences.len() as u64) < job.submission.reserved_occurrences()
}

/// Returns whether a job may hold its occurrence `next` beside those that have begun.
pub(super) fn is_in_window(job: &Job, next: u32) -> bool {
    let tasks = job.submission.tasks_per_occurrence() as u64;
    let from_first = u64::from(next - job.done_occurrences());
    job.open_tasks() < MAX_TASKS_AT_ONCE as usize
        && job.begun_tasks() as u64 + tasks <= MAX_TASKS_PER_SUBMISSION
        && from_first.saturating_mul(tasks) <= MAX_DONE_IN_RANGES
}

impl Scheduler {
    /// Begins the occurrences that are due, as far as they may be held.
    pub(super) fn begin_due(&mut self, unix_ms: u64, now: BootTime) {
        self.count_held(now);
        for job in self.jobs.active_mut() {
            self.needs_placement |= self.held_work.begin_due(job, unix_ms);
        }
        if now.since(self.withheld_logged_at) >= LOG_INTERVAL {
            self.withheld_logged_at = now;
            self.log_withheld(unix_ms);
        }
    }

    /// Logs submissions with occurrences that are due and have to wait.
    fn log_withheld(&self, unix_ms: u64) {
        let withheld = self.jobs.active().filter_map(|job| {
            let next = next_due(job, unix_ms)?;
            Some((job, next))
        });
        for (job, next) in withheld.take(MAX_LOGGED) {
            let submission = &job.submission;
            log::info!(
                "event=occurrences_withheld id={} queue={} next={next} overdue_ms={} open_tasks={}",
                submission.id,
                submission.queue,
                unix_ms.saturating_sub(submission.due_unix_ms(next)),
                job.open_tasks()
            );
        }
    }
}
