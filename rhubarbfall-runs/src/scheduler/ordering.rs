use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_core::{BootTime, SubmissionId};

use crate::{Job, Queue, Resources, Step, StepState, Submission};

/// The multiple of its objective up to which a late submission still has value.
const LATE_OBJECTIVE_FACTOR: u32 = 3;

/// The rank of a submission in the start order; lower ranks start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    tier: Tier,
    priority: u32,
    is_new: bool,
    latest_start: BootTime,
}

/// The part of a rank that no wait changes the order of: steps of a better standing are never kept
/// from room that they need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Standing(Tier, u32);

impl Standing {
    /// Returns the standing of work that can be in time, with this priority of its queue.
    #[cfg(test)]
    pub(super) const fn in_time(priority: u32) -> Self {
        Self(Tier::InTime, priority)
    }
}

/// The best outcome that is still possible for a submission, in start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// The submission is long-running: its tasks serve users for as long as they run.
    LongRunning,
    /// The submission can still meet its objective.
    InTime,
    /// The submission can only complete late.
    Late,
    /// The submission has no value any more.
    TooLate,
    /// The customer exceeded the rate that its weight allows.
    Excess,
}

/// Ranks a job: long-running work first, then jobs that can still meet their objective by latest
/// start, then late ones. When the demand of a queue exceeds its pool, late work thus does not
/// delay work that can still be in time.
pub(super) fn rank(job: &Job, queue: &Queue, now: BootTime) -> Rank {
    let objective = objective(job.critical_path, queue);
    let remaining = remaining_path(job);
    let latest = |allowed: Duration| job.accepted_at + allowed.saturating_sub(remaining);
    let (in_time, late) = (latest(objective), latest(objective * LATE_OBJECTIVE_FACTOR));
    let (tier, latest_start) = if job.submission.is_long_running() {
        (Tier::LongRunning, job.accepted_at)
    } else if job.is_excess {
        (Tier::Excess, in_time)
    } else if now <= in_time {
        (Tier::InTime, in_time)
    } else if now <= late {
        (Tier::Late, late)
    } else {
        (Tier::TooLate, late)
    };
    Rank {
        tier,
        priority: queue.priority,
        is_new: !job.has_begun,
        latest_start,
    }
}

/// Returns the time from its arrival within which a submission counts as in time.
pub(super) fn objective(critical_path: Duration, queue: &Queue) -> Duration {
    critical_path.mul_f64(queue.stretch.max(1.0)) + queue.objective
}

/// Returns how long a submission may wait for its starts and still be in time.
pub(super) fn slack(submission: &Submission, queue: &Queue) -> Duration {
    let critical_path = submission.critical_path();
    objective(critical_path, queue).saturating_sub(critical_path)
}

impl Rank {
    /// Returns whether the job has not begun and can still be in time.
    pub(super) fn is_new_in_time(&self) -> bool {
        self.tier == Tier::InTime && self.is_new
    }

    /// Returns whether the job has begun and can still be in time.
    pub(super) fn is_begun_in_time(&self) -> bool {
        self.tier == Tier::InTime && !self.is_new
    }

    /// Returns the latest start with which the job is still in time.
    pub(super) const fn latest_start(&self) -> BootTime {
        self.latest_start
    }

    /// Returns the tier and priority.
    pub(super) const fn standing(&self) -> Standing {
        Standing(self.tier, self.priority)
    }

    /// Ranks the job with those that can only be late.
    pub(super) const fn demote(&mut self) {
        self.tier = Tier::Late;
    }
}

/// A submission that has not begun, as input to the forecast of starts.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: SubmissionId,
    /// The latest start with which the submission is still in time.
    pub(super) latest_start: BootTime,
    /// Its remaining work, in seconds of one whole worker.
    pub(super) load_s: f64,
}

/// Returns the submissions to defer so that the others can be in time: while the demand of a queue
/// exceeds its workers' capacity, the one with the earliest `latest_start`, which has waited
/// longest, is deferred first. Serving the nearest deadline first would make each submission start
/// just too late.
///
/// `begun_load_s` is the remaining work of submissions that have begun, in seconds of one whole
/// worker; `capacity_per_s` is how much of such work is done in a second.
pub(super) fn beyond_capacity(
    mut candidates: Vec<Candidate>,
    begun_load_s: f64,
    capacity_per_s: f64,
    now: BootTime,
) -> Vec<SubmissionId> {
    candidates.sort_by_key(|candidate| candidate.latest_start);
    let mut kept: VecDeque<&Candidate> = VecDeque::new();
    let mut load_s = begun_load_s;
    let mut deferred = Vec::new();
    for candidate in &candidates {
        // The last submission in the order starts after all the others have been served.
        let slack_s = candidate.latest_start.since(now).as_secs_f64();
        while load_s / capacity_per_s > slack_s {
            let Some(oldest) = kept.pop_front() else {
                break;
            };
            load_s -= oldest.load_s;
            deferred.push(oldest.id.clone());
        }
        kept.push_back(candidate);
        load_s += candidate.load_s;
    }
    deferred
}

/// Returns the work of a job's unfinished tasks, in seconds of one whole worker of this size.
pub(super) fn load_s(job: &Job, worker_size: Resources) -> f64 {
    let Some(occurrence) = job.occurrences.last() else {
        return 0.0;
    };
    let step_load_s = |(step, run): (&Step, &StepState)| {
        let open = run.tasks.len() as f64 - f64::from(run.done);
        open * step.reserved().fraction_of(worker_size) * step.estimate.as_secs_f64()
    };
    job.submission
        .steps
        .iter()
        .zip(&occurrence.steps)
        .map(step_load_s)
        .sum()
}

/// How much the VMs for a job matter, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// The job is long-running or can still meet its objective.
    InTime,
    /// The job can only be late, or has no value any more.
    Late,
    /// The customer exceeded the rate that its weight allows.
    Excess,
}

/// Returns how much the VMs for a job matter.
pub(super) fn urgency(job: &Job, queue: &Queue, now: BootTime) -> Urgency {
    match rank(job, queue, now).tier {
        Tier::LongRunning | Tier::InTime => Urgency::InTime,
        Tier::Late | Tier::TooLate => Urgency::Late,
        Tier::Excess => Urgency::Excess,
    }
}

/// Returns whether a job can still complete while it has value.
pub(super) fn is_still_useful(job: &Job, queue: &Queue, now: BootTime) -> bool {
    rank(job, queue, now).tier != Tier::TooLate
}

/// Returns the estimated duration of the longest chain of unfinished steps.
fn remaining_path(job: &Job) -> Duration {
    let current = job.occurrences.last();
    job.submission
        .longest_path(|number| current.is_some_and(|current| current.steps[number].is_done()))
}
