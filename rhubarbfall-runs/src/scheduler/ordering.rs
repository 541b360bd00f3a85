use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_core::{BootTime, SubmissionId};

use crate::{Job, Queue, Resources, Step, StepState};

/// A submission that takes up to this many times its objective still has some worth.
const LATE_OBJECTIVE_FACTOR: u32 = 3;

/// Where a submission stands in the order in which tasks start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    tier: Tier,
    priority: u32,
    is_new: bool,
    latest_start: BootTime,
}

/// What can still be reached for a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Its tasks serve others as long as they run.
    Lasting,
    /// It can be done in time.
    InTime,
    /// It can be done late.
    Late,
    /// Its customer hands in more than its weight allows.
    Excess,
    /// It is too late for anybody.
    TooLate,
}

/// Ranks a job: lasting work, then what can still be in time by the time that is left, then what
/// can only be late. When a queue asks for more than its pool holds, work that missed its time does
/// not delay work that can make it.
pub(super) fn rank(job: &Job, queue: &Queue, now: BootTime) -> Rank {
    let objective = job.critical_path.mul_f64(queue.stretch.max(1.0)) + queue.objective;
    let remaining = remaining_path(job);
    let latest = |allowed: Duration| job.accepted_at + allowed.saturating_sub(remaining);
    let (in_time, late) = (latest(objective), latest(objective * LATE_OBJECTIVE_FACTOR));
    let (tier, latest_start) = if job.submission.is_long_running() {
        (Tier::Lasting, job.accepted_at)
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

impl Rank {
    /// Returns whether the job waits, has not begun and could be in time.
    pub(super) fn is_new_in_time(&self) -> bool {
        self.tier == Tier::InTime && self.is_new
    }

    /// Returns whether the job has begun and can be in time.
    pub(super) fn is_begun_in_time(&self) -> bool {
        self.tier == Tier::InTime && !self.is_new
    }

    /// Returns when the job must start at the latest to be in time.
    pub(super) const fn latest_start(&self) -> BootTime {
        self.latest_start
    }

    /// Ranks the job among those that can only be late.
    pub(super) const fn demote(&mut self) {
        self.tier = Tier::Late;
    }
}

/// A submission that has not begun, for a forecast of its start.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: SubmissionId,
    /// When it must start at the latest to be in time.
    pub(super) latest_start: BootTime,
    /// What it needs, in seconds of one worker.
    pub(super) load_s: f64,
}

/// Returns the submissions to give up for now, so that the others can be in time: while the queue
/// asks for more than its workers do, the one that has waited longest is given up first. Serving
/// the nearest deadline first would let each start just too late.
///
/// `begun_load_s` is what submissions that have begun still need, in seconds of one worker.
pub(super) fn beyond_capacity(
    mut candidates: Vec<Candidate>,
    begun_load_s: f64,
    workers: usize,
    now: BootTime,
) -> Vec<SubmissionId> {
    candidates.sort_by_key(|candidate| candidate.latest_start);
    let workers = workers.max(1) as f64;
    let mut kept: VecDeque<&Candidate> = VecDeque::new();
    let mut load_s = begun_load_s;
    let mut deferred = Vec::new();
    for candidate in &candidates {
        // The last one in the order starts when all before it are served.
        let slack_s = candidate.latest_start.since(now).as_secs_f64();
        while load_s / workers > slack_s {
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

/// Returns what the open tasks of a job need, in seconds of one worker of this size.
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

/// Returns whether a job can still be done within the time in which it has some worth.
pub(super) fn is_still_useful(job: &Job, queue: &Queue, now: BootTime) -> bool {
    rank(job, queue, now).tier != Tier::TooLate
}

/// Returns the estimated length of the longest chain of steps that are not done.
fn remaining_path(job: &Job) -> Duration {
    let current = job.occurrences.last();
    job.submission
        .longest_path(|number| current.is_some_and(|current| current.steps[number].is_done()))
}
