//! Pacing of best-effort tasks, so that latency-sensitive tasks on the same worker meet their tail
//! latency targets.

use rhubarbfall_core::{BootTime, WorkerId};

use super::Scheduler;
use super::action::{Action, PaceOrder};
use crate::{LeaseRenewalResponse, RunState, TaskId};

/// The ratio of a tail latency to its target above which best-effort tasks are slowed down; below
/// 1, so that this happens before the target is missed.
const SLOW_DOWN_ABOVE_RATIO: f64 = 0.8;

/// The ratio of every tail latency to its target below which best-effort tasks are sped up.
const SPEED_UP_BELOW_RATIO: f64 = 0.5;

/// The decrease of the pace per interval, in percent: two decreases stop a best-effort task within
/// a fraction of the time that a tail latency may exceed its target.
const SLOW_DOWN_STEP_PERCENT: u8 = 50;

/// The increase of the pace per interval, in percent.
const SPEED_UP_STEP_PERCENT: u8 = 10;

impl Scheduler {
    /// Adjusts the pace of a worker's best-effort tasks to the tail latencies that it reports.
    pub(super) fn pace_best_effort(
        &mut self,
        id: &WorkerId,
        answer: &LeaseRenewalResponse,
        now: BootTime,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_due = now.since(worker.paced_at) >= self.settings.pace_interval;
        if worker.best_effort_tasks == 0 || !is_due {
            return;
        }
        let worst = self.worst_tail_ratio(answer);
        let (address, placed) = (worker.report.address, worker.placed.clone());
        let best_effort_tasks: Vec<TaskId> = placed
            .into_iter()
            .filter(|task| self.is_best_effort(task))
            .collect();
        for task in best_effort_tasks {
            let Some(job) = self.jobs.get_mut(&task.submission) else {
                continue;
            };
            let placement = job.task_mut(&task).and_then(|task| task.placement_mut());
            let Some(placement) =
                placement.filter(|placed| matches!(placed.state, RunState::Accepted(_)))
            else {
                continue;
            };
            let percent = next_pace(placement.pace_percent, worst);
            if percent == placement.pace_percent {
                continue;
            }
            placement.pace_percent = percent;
            log::info!(
                "event=run_paced id={task} worker={id} percent={percent} worst_tail={worst:.2}"
            );
            let run = placement.run;
            let worker = id.clone();
            self.actions.push(Action::Pace(PaceOrder {
                worker,
                address,
                task,
                run,
                percent,
            }));
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.paced_at = now;
        }
    }

    fn is_best_effort(&self, id: &TaskId) -> bool {
        let job = self.jobs.get(&id.submission);
        job.is_some_and(|job| job.step(id).is_best_effort)
    }

    /// Returns the largest ratio of a tail latency to its target, or zero if no task has a target.
    fn worst_tail_ratio(&self, answer: &LeaseRenewalResponse) -> f64 {
        let tails = answer.running.iter().filter_map(|running| {
            let job = self.jobs.get(&running.task.submission)?;
            let step = job.submission.steps.get(usize::from(running.task.step))?;
            let target_ms = step.tail_latency_target?.as_secs_f64() * 1_000.0;
            Some(running.tail_ms_or_cpu_millis? as f64 / target_ms.max(1.0))
        });
        tails.fold(0.0, f64::max)
    }
}

fn next_pace(percent: u8, worst_tail_ratio: f64) -> u8 {
    if worst_tail_ratio > SLOW_DOWN_ABOVE_RATIO {
        percent.saturating_sub(SLOW_DOWN_STEP_PERCENT)
    } else if worst_tail_ratio < SPEED_UP_BELOW_RATIO {
        (percent + SPEED_UP_STEP_PERCENT).min(100)
    } else {
        percent
    }
}
