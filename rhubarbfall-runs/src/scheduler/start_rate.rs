//! The rate at which this owner starts tasks, and the submissions that it refuses because of it.
//!
//! The load: on a large fleet, more tasks are submitted than one owner's processor can start, while
//! workers are idle. Submissions that are accepted all the same wait until nobody needs them any
//! more. Those that could not start in time are refused when they arrive, so that their callers can
//! come back, and the others start in time.

use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_core::BootTime;

use super::Scheduler;
use super::ordering::{is_still_useful, slack};
use crate::{Submission, TaskPhase};

/// The time over which answers to starts are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How long the owner's processor must have been the limit before its rate is known.
const MIN_MEASUREMENT: Duration = Duration::from_millis(400);

/// How long placements may stay below the limit on pending starts without ending a measurement.
const MAX_INTERRUPTION: Duration = Duration::from_millis(200);

/// How long a measured rate holds: about the duration of a surge.
const RATE_VALIDITY: Duration = Duration::from_secs(5);

/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time after which a refused caller is asked to come back: a surge is over by then.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(20);

/// Measures the rate of starts while the owner's processor limits it.
#[derive(Debug, Default)]
pub(super) struct StartRate {
    /// When starts were answered, the oldest first.
    answers: VecDeque<BootTime>,
    /// Since when the limit on pending starts has been reached, and when it last was.
    limited: Option<(BootTime, BootTime)>,
    /// The last measured rate in starts per second, and when it was measured.
    measured: Option<(f64, BootTime)>,
    /// The number of tasks that are still to be started.
    backlog: usize,
}

impl StartRate {
    /// Records that a start was answered.
    pub(super) fn record_answer(&mut self, now: BootTime) {
        self.answers.push_back(now);
        while self
            .answers
            .front()
            .is_some_and(|at| now.since(*at) > RATE_WINDOW)
        {
            self.answers.pop_front();
        }
    }

    /// Records whether tasks wait because the maximum number of starts is pending.
    pub(super) fn observe(&mut self, is_limited: bool, now: BootTime) {
        let interrupted = |last: BootTime| now.since(last) > MAX_INTERRUPTION;
        if !is_limited {
            self.limited = self.limited.filter(|(_, last)| !interrupted(*last));
            return;
        }
        let since = match self.limited {
            Some((since, last)) if !interrupted(last) => since,
            _ => now,
        };
        self.limited = Some((since, now));
        let window = now.since(since).min(RATE_WINDOW);
        if window >= MIN_MEASUREMENT {
            let is_recent = |at: &&BootTime| now.since(**at) < window;
            let answers = self.answers.iter().rev().take_while(is_recent).count();
            self.measured = Some((answers as f64 / window.as_secs_f64(), now));
        }
    }

    /// Returns whether the limit on pending starts was reached just now.
    fn is_limited(&self, now: BootTime) -> bool {
        self.limited
            .is_some_and(|(_, last)| now.since(last) <= MAX_INTERRUPTION)
    }

    /// Returns the rate in starts per second if it was the limit recently.
    pub(super) fn per_s(&self, now: BootTime) -> Option<f64> {
        let (rate_per_s, at) = self.measured?;
        (now.since(at) <= RATE_VALIDITY && rate_per_s > 0.0).then_some(rate_per_s)
    }
}

impl Scheduler {
    /// Returns whether tasks wait because the maximum number of starts is pending.
    #[must_use]
    pub fn are_starts_limited(&self, now: BootTime) -> bool {
        self.start_rate.is_limited(now)
    }

    /// Decides whether a submission is accepted, and returns after how long its caller may come back
    /// if it is not. A refused submission has left no trace and never runs.
    ///
    /// # Errors
    ///
    /// Returns the time to come back if the submission would exceed what is held for its customer, or if
    /// the tasks that wait already take this owner longer to start than the submission can wait for
    /// being in time.
    pub fn admit(&mut self, submission: &Submission, now: BootTime) -> Result<(), Duration> {
        let is_known = self.jobs.get(&submission.id).is_some()
            || self.early_cancellations.contains(&submission.id);
        if !is_known {
            self.admit_to_hold(submission)?;
        }
        let Some(rate_per_s) = self.start_rate.per_s(now) else {
            return Ok(());
        };
        let is_unlimited = submission.is_long_running() || submission.schedule.is_some();
        let Some(queue) = self
            .config
            .queue(&submission.queue)
            .filter(|_| !is_known && !is_unlimited)
        else {
            return Ok(());
        };
        let tasks: usize = submission
            .steps
            .iter()
            .map(|step| step.tasks as usize)
            .sum();
        let seconds_for = |tasks: usize| Duration::from_secs_f64(tasks as f64 / rate_per_s);
        let wait = seconds_for(self.start_rate.backlog + self.pending_starts.len());
        let allowed = if self.has_room_in_weight(submission, now) {
            slack(submission, queue)
        } else {
            Duration::ZERO
        };
        if wait > allowed {
            let retry_after = wait.saturating_sub(allowed) + seconds_for(tasks);
            let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            log::info!(
                "event=submission_beyond_start_rate id={} queue={} backlog={} \
                 starts_per_s={rate_per_s:.0} wait_ms={} allowed_ms={}",
                submission.id,
                submission.queue,
                self.start_rate.backlog,
                wait.as_millis(),
                allowed.as_millis()
            );
            return Err(spread(retry_after, submission));
        }
        self.start_rate.backlog += tasks;
        Ok(())
    }

    /// Counts the tasks that are still to be started and still wanted in time, if the rate of starts
    /// matters.
    pub(super) fn count_start_backlog(&mut self, now: BootTime) {
        if self.start_rate.per_s(now).is_none() {
            return;
        }
        let active = self.jobs.active();
        let wanted = active.filter(|job| {
            let queue = self.config.queue(&job.submission.queue);
            !job.is_excess && queue.is_some_and(|queue| is_still_useful(job, queue, now))
        });
        let waiting = wanted.map(|job| {
            let mut waiting = 0;
            job.for_each_task(|_, _, _, task| {
                waiting += usize::from(task.phase == TaskPhase::Waiting);
            });
            waiting
        });
        self.start_rate.backlog = waiting.sum();
    }
}

/// Lengthens a time to come back by up to a half, by the identifier of the submission, so that callers
/// that were refused together do not return together.
pub(super) fn spread(retry_after: Duration, submission: &Submission) -> Duration {
    let digits = submission.id.as_str().bytes();
    let hash = digits.fold(0_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    retry_after + retry_after / 2 * (hash % 100) / 100
}
