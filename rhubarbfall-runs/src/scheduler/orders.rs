use std::time::Duration;

use rhubarbfall_core::{BootTime, WorkerId};

use super::Scheduler;
use super::action::{Action, StopOrder};
use crate::{
    Job, JobState, Occurrence, Placement, RunState, Stage, StartOutcome, Step, StepId, Task,
    TaskId, Worker, WorkerState,
};

/// The part of a task's estimate that may pass without progress, as a divisor: a long task may show
/// no progress for a twentieth of its estimate.
const STALL_ESTIMATE_DIVISOR: u32 = 20;

impl Scheduler {
    /// Processes the outcome of a start call.
    pub fn start_answered(
        &mut self,
        id: &TaskId,
        worker: &WorkerId,
        run: u64,
        outcome: StartOutcome,
        now: BootTime,
    ) {
        self.start_rate.record_answer(now);
        self.end_stage(id, Stage::Starting, now);
        let Some(task) = self.jobs.get(&id.submission).and_then(|job| job.task(id)) else {
            return;
        };
        if !task.is_run(worker, run) {
            return;
        }
        let state = task.placement().map(|placed| placed.state);
        match outcome {
            StartOutcome::Accepted if state == Some(RunState::Sending) => {
                self.set_run_state(id, RunState::Accepted(now));
                self.mark_started(id);
                self.reset_progress_timer(id, now);
            }
            StartOutcome::Unknown if state == Some(RunState::Sending) => {
                log::warn!("event=start_unconfirmed id={id} run={run} worker={worker}");
                self.set_run_state(id, RunState::Unconfirmed(now));
            }
            StartOutcome::Accepted | StartOutcome::Unknown => {}
            refused => self.start_refused(id, worker, refused, now),
        }
    }

    /// Restarts the time that a run may spend without progress.
    fn reset_progress_timer(&mut self, id: &TaskId, now: BootTime) {
        let job = self.jobs.get_mut(&id.submission);
        if let Some(placement) = job
            .and_then(|job| job.task_mut(id))
            .and_then(Task::placement_mut)
        {
            placement.progress_at = now;
        }
    }

    /// Records that a worker has started a task of the job.
    pub(super) fn mark_started(&mut self, id: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&id.submission) {
            job.has_started = true;
        }
    }

    /// Requeues a task that its worker has certainly not started.
    fn start_refused(
        &mut self,
        id: &TaskId,
        worker: &WorkerId,
        outcome: StartOutcome,
        now: BootTime,
    ) {
        if let Some(worker) = self.workers.get_mut(worker) {
            match outcome {
                StartOutcome::OtherWorker => worker.is_listed = false,
                StartOutcome::Refused | StartOutcome::NotSent | StartOutcome::OtherIncarnation => {
                    worker.quarantined_until = now + self.settings.unreachable_after;
                }
                _ => {}
            }
        }
        if outcome == StartOutcome::TicketRefused {
            self.advice.remove_ticket(&StepId::of(id), worker);
        }
        let run = self.placement(id).map(|placed| placed.run);
        self.requeue(id, now, outcome.as_str());
        if let Some(run) = run {
            self.stop_rest_of_gang(id, run);
        }
    }

    /// Stops the members of a task's gang in a run that the task will not join: they would wait for
    /// it in vain.
    fn stop_rest_of_gang(&mut self, id: &TaskId, run: u64) {
        let Some(job) = self.jobs.get(&id.submission) else {
            return;
        };
        if !job.step(id).is_gang {
            return;
        }
        let is_left = |task: &Task| {
            task.placement()
                .is_some_and(|placed| placed.run == run && !placed.state.is_stopping())
        };
        let mut rest = job.tasks_where(is_left);
        rest.retain(|task| StepId::of(id).contains(task));
        for task in rest {
            log::info!("event=run_stopped id={task} reason=gang_incomplete");
            self.set_run_state(&task, RunState::STOP_REQUESTED);
        }
    }

    /// Processes the outcome of a stop call; once confirmed, the run will not start on this
    /// incarnation of the worker any more.
    pub fn stop_answered(&mut self, order: &StopOrder, is_confirmed: bool, now: BootTime) {
        let StopOrder {
            worker,
            task: id,
            run,
            ..
        } = order;
        let run = *run;
        let is_current_incarnation = self
            .workers
            .get(worker)
            .is_some_and(|worker| worker.report.incarnation_unix_ms == order.incarnation_unix_ms);
        let task = self.jobs.get(&id.submission).and_then(|job| job.task(id));
        let placed = task
            .filter(|task| task.is_run(worker, run))
            .and_then(Task::placement);
        let event = if is_confirmed {
            "run_stop_confirmed"
        } else {
            "run_stop_unconfirmed"
        };
        log::info!(
            "event={event} id={id} run={run} worker={worker} current={}",
            placed.is_some()
        );
        // Only the first confirmation counts: a renewal sent after it reports what is still
        // running.
        let confirmed_at = Some(now);
        let state = match placed
            .map(|placed| placed.state)
            .filter(|_| is_confirmed && is_current_incarnation)
        {
            Some(RunState::Stopping {
                asked_at,
                confirmed_at: None,
            }) => RunState::Stopping {
                asked_at,
                confirmed_at,
            },
            Some(RunState::RevokingStart {
                asked_at,
                confirmed_at: None,
            }) => RunState::RevokingStart {
                asked_at,
                confirmed_at,
            },
            _ => return,
        };
        self.set_run_state(id, state);
    }

    /// Returns whether a worker is to be asked soon for its list of runs, because a start is
    /// unconfirmed or being revoked.
    pub(super) fn has_unconfirmed_starts(&self, worker: &WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|worker| {
            worker.placed.iter().any(|id| {
                self.placement(id).is_some_and(|placed| {
                    matches!(
                        placed.state,
                        RunState::Unconfirmed(_) | RunState::RevokingStart { .. }
                    )
                })
            })
        })
    }

    /// Revokes unconfirmed starts that the response to a renewal sent at `sent_at` does not list.
    /// A start whose run may be at work is not revoked: each stop call, also a repeated one,
    /// follows a list that was requested after the previous call.
    pub(super) fn revoke_unlisted_starts(
        &mut self,
        worker: &WorkerId,
        sent_at: BootTime,
        now: BootTime,
    ) {
        let retry_interval = self.settings.stop_retry_interval;
        let is_due = |id: &&TaskId| match self.placement(id).map(|placed| placed.state) {
            Some(RunState::Unconfirmed(failed_at)) => failed_at < sent_at,
            Some(RunState::RevokingStart {
                asked_at,
                confirmed_at: None,
            }) => asked_at < sent_at && now.since(asked_at) >= retry_interval,
            _ => false,
        };
        let Some(known) = self.workers.get(worker) else {
            return;
        };
        let due: Vec<TaskId> = known.placed.iter().filter(is_due).cloned().collect();
        for id in due {
            self.send_stop(&id, now);
        }
    }

    /// Sends requested stop calls, and repeats those whose runs are not over.
    pub(super) fn send_due_stops(&mut self, now: BootTime) {
        let due = self.placed_where(|_, _, task| self.is_stop_due(task, now));
        for id in due {
            self.send_stop(&id, now);
        }
    }

    /// Sends and repeats the stop calls for runs of cancelled jobs.
    pub(super) fn stop_cancelled(&mut self, now: BootTime) {
        let due = self.placed_where(|job, _, task| {
            job.state == JobState::Cancelled && self.is_stop_due(task, now)
        });
        for id in due {
            self.send_stop(&id, now);
        }
    }

    /// Returns whether a run is being stopped and its stop call is to be sent or repeated.
    fn is_stop_due(&self, task: &Task, now: BootTime) -> bool {
        let Some(RunState::Stopping { asked_at, .. }) = task.placement().map(|placed| placed.state)
        else {
            return false;
        };
        let interval = self.settings.stop_retry_interval;
        asked_at.is_none_or(|asked_at| now.since(asked_at) >= interval)
    }

    fn send_stop(&mut self, id: &TaskId, now: BootTime) {
        let Some(placement) = self.placement(id) else {
            return;
        };
        let (worker_id, run, state) = (placement.worker.clone(), placement.run, placement.state);
        let reason = match state {
            RunState::Unconfirmed(_) => "start_unconfirmed",
            RunState::Stopping { asked_at: None, .. } => "requested",
            _ => "repeated",
        };
        if !self.push_stop(&worker_id, id, run, reason) {
            return;
        }
        let state = match state {
            RunState::Stopping { confirmed_at, .. } => RunState::Stopping {
                asked_at: Some(now),
                confirmed_at,
            },
            _ => RunState::RevokingStart {
                asked_at: now,
                confirmed_at: None,
            },
        };
        self.set_run_state(id, state);
    }

    /// Queues a command to stop a run, and returns whether the worker is known.
    pub(super) fn push_stop(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u64,
        reason: &str,
    ) -> bool {
        let Some(known) = self.workers.get(worker) else {
            return false;
        };
        log::info!("event=run_stop_sent id={task} run={run} worker={worker} reason={reason}");
        self.actions.push(Action::Stop(StopOrder {
            worker: worker.clone(),
            incarnation_unix_ms: known.report.incarnation_unix_ms,
            address: known.report.address,
            task: task.clone(),
            run,
        }));
        true
    }

    /// Requeues the tasks of unreachable workers whose leases have certainly expired.
    pub(super) fn drop_expired_workers(&mut self, now: BootTime) {
        let may_hold_runs = |worker: &&Worker| match worker.state {
            WorkerState::New => !worker.placed.is_empty(),
            WorkerState::Reachable => true,
            WorkerState::Lapsed => false,
        };
        let expired: Vec<WorkerId> = self
            .workers()
            .filter(|worker| may_hold_runs(worker) && worker.lease_expiry < now)
            .filter(|worker| now.since(worker.answered_at) > self.settings.unreachable_after)
            .map(|worker| worker.report.id.clone())
            .collect();
        for id in expired {
            log::warn!("event=worker_lapsed worker={id}");
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.state = WorkerState::Lapsed;
            }
            self.requeue_tasks_of(&id, now, "lease_lapsed");
        }
        self.remove_unlisted_workers();
    }

    /// Requeues all tasks that are placed on a worker.
    pub(super) fn requeue_tasks_of(&mut self, worker: &WorkerId, now: BootTime, reason: &str) {
        let placed = self.workers.get(worker).map(|worker| worker.placed.clone());
        for task in placed.unwrap_or_default() {
            self.requeue(&task, now, reason);
        }
    }

    fn remove_unlisted_workers(&mut self) {
        let gone: Vec<WorkerId> = self
            .workers()
            .filter(|worker| !worker.is_listed && worker.placed.is_empty())
            .filter(|worker| worker.state != WorkerState::Reachable)
            .map(|worker| worker.report.id.clone())
            .collect();
        for id in gone {
            self.workers.remove(&id);
        }
    }

    /// Stops runs that show no progress, so that they start again on another worker. The time is
    /// measured between two answers of the worker, because an owner that asks late also learns late
    /// of progress.
    pub(super) fn stop_stalled(&mut self, now: BootTime) {
        let stall_timeout = self.settings.stall_timeout;
        let reported_without_progress = |placed: &Placement| {
            let worker = self.workers.get(&placed.worker);
            worker.map_or(Duration::ZERO, |worker| {
                worker.answered_at.since(placed.progress_at)
            })
        };
        let timeout = |step: &Step| stall_timeout.max(step.estimate / STALL_ESTIMATE_DIVISOR);
        // Runs of ended jobs are being stopped already.
        let is_stalled = |step: &Step, task: &Task| {
            let can_stall = !step.is_best_effort && !step.is_long_running && !step.is_gang;
            can_stall
                && task.placement().is_some_and(|placed| {
                    matches!(placed.state, RunState::Accepted(_))
                        && placed.progress_percent < 100
                        && now.since(placed.progress_at) > timeout(step)
                        && reported_without_progress(placed) > timeout(step)
                })
        };
        if !self.any_active_task(is_stalled) {
            return;
        }
        let stalled = self.placed_where(|_, step, task| is_stalled(step, task));
        for id in stalled {
            let Some(worker) = self.placement(&id).map(|placed| placed.worker.clone()) else {
                continue;
            };
            log::warn!("event=run_stalled id={id} worker={worker}");
            self.record_failure(&worker, &id.submission, now);
            self.set_run_state(&id, RunState::STOP_REQUESTED);
        }
    }

    /// Returns whether `select` returns true for a task of an active job; unlike a list of tasks by
    /// worker, this takes no search for the job of each.
    fn any_active_task(&self, select: impl Fn(&Step, &Task) -> bool) -> bool {
        let any_in = |job: &Job, occurrence: &Occurrence| {
            let mut steps = job.submission.steps.iter().zip(&occurrence.steps);
            steps.any(|(step, run)| run.tasks.iter().any(|task| select(step, task)))
        };
        let mut jobs = self.jobs.active();
        jobs.any(|job| job.occurrences.iter().any(|of_job| any_in(job, of_job)))
    }

    /// Returns the tasks on known workers for which `select` returns true.
    fn placed_where(&self, select: impl Fn(&Job, &Step, &Task) -> bool) -> Vec<TaskId> {
        let placed = self.workers().flat_map(|worker| &worker.placed);
        let is_selected = |id: &&TaskId| {
            self.jobs.get(&id.submission).is_some_and(|job| {
                job.task(id)
                    .is_some_and(|task| select(job, job.step(id), task))
            })
        };
        placed.filter(is_selected).cloned().collect()
    }
}
