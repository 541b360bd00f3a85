use std::time::Duration;

use rhubarbfall_core::BootTime;

use crate::{Job, Queue};

/// A submission that takes up to this many times its objective still has some worth.
const LATE_FACTOR: u32 = 3;

/// Where a submission stands in the order in which tasks start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    tier: Tier,
    priority: u32,
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
    let path = job.submission.critical_path();
    let objective = path.mul_f64(queue.stretch.max(1.0)) + queue.objective;
    let left = remaining_path(job);
    let latest = |allowed: Duration| job.accepted_at + allowed.saturating_sub(left);
    let (in_time, late) = (latest(objective), latest(objective * LATE_FACTOR));
    let (tier, latest_start) = if job.submission.is_lasting() {
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
        latest_start,
    }
}

/// Returns whether a job can still be done within the time in which it has some worth.
pub(super) fn is_worth_capacity(job: &Job, queue: &Queue, now: BootTime) -> bool {
    rank(job, queue, now).tier != Tier::TooLate
}

/// Returns the estimated length of the longest chain of steps that are not done.
fn remaining_path(job: &Job) -> Duration {
    let steps = &job.submission.steps;
    let current = job.occurrences.last();
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for (number, step) in steps.iter().enumerate() {
        let is_done = current.is_some_and(|occurrence| occurrence.steps[number].is_done());
        let begin = step
            .after
            .iter()
            .map(|earlier| ends[usize::from(*earlier)])
            .max();
        let own = if is_done {
            Duration::ZERO
        } else {
            step.estimate
        };
        ends.push(begin.unwrap_or_default() + own);
    }
    ends.into_iter().max().unwrap_or_default()
}
