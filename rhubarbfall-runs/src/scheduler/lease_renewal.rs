use std::net::SocketAddr;

use rhubarbfall_core::{BootTime, SubmissionId, WorkerId};

use super::clearing::log_late_run;
use super::{Action, Scheduler};
use crate::{
    ActiveRun, Job, JobState, LeaseRenewalResponse, Placement, Resources, RunEnd, RunEndKind,
    RunState, Stage, Step, Task, TaskId, TaskPhase, WorkerState,
};

/// The number of different submissions with failures, and no success in between, after which a
/// worker is quarantined: a single one may be the submission's own fault.
const FAILURES_TO_QUARANTINE: usize = 2;

/// A call that renews a worker's leases and requests its list of runs.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseRenewalRequest {
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The worker's incarnation that the call is meant for: another one has a clock and numbers of
    /// its own.
    pub incarnation_unix_ms: u64,
    /// The end of the leases in milliseconds on the worker's clock, or `None` to renew no lease.
    pub lease_deadline_ms: Option<u64>,
    /// The number of the last run end that the worker may discard.
    pub acknowledged: u64,
    /// Whether tasks are placed on the worker.
    pub is_busy: bool,
    /// Whether it is not known if a run that was to start on the worker has started.
    pub has_unconfirmed_starts: bool,
}

impl Scheduler {
    /// Prepares the next lease renewal for a worker, or returns `None` if the worker is not known.
    pub fn lease_renewal_request(
        &mut self,
        worker: &WorkerId,
        now: BootTime,
    ) -> Option<LeaseRenewalRequest> {
        let lease = (now + self.settings.lease).min(self.max_lease_end);
        let has_unconfirmed_starts = self.has_unconfirmed_starts(worker);
        let worker = self.workers.get_mut(worker)?;
        let is_busy = !worker.placed.is_empty();
        // The leases of an unreachable worker must expire so that its tasks can start elsewhere.
        let is_unreachable = now.since(worker.answered_at) > self.settings.unreachable_after;
        let wants_lease =
            is_busy && lease > now && worker.state == WorkerState::Reachable && !is_unreachable;
        Some(LeaseRenewalRequest {
            address: worker.report.address,
            incarnation_unix_ms: worker.report.incarnation_unix_ms,
            lease_deadline_ms: if wants_lease {
                worker.grant_lease(lease)
            } else {
                None
            },
            acknowledged: worker.last_stored_end,
            is_busy,
            has_unconfirmed_starts,
        })
    }

    /// Processes a worker's response to a lease renewal that was sent at `sent_at`.
    pub fn lease_renewal_answered(
        &mut self,
        id: &WorkerId,
        sent_at: BootTime,
        answer: &LeaseRenewalResponse,
        now: BootTime,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // A call that was sent earlier may have reached an earlier incarnation.
        let is_earlier = answer.incarnation_unix_ms < worker.report.incarnation_unix_ms
            || worker.has_ended(answer.incarnation_unix_ms);
        if is_earlier && sent_at < worker.incarnation_known_since {
            log::info!("event=renewal_answer_outdated worker={id}");
            return;
        }
        if answer.incarnation_unix_ms != worker.report.incarnation_unix_ms {
            self.worker_restarted(id, answer.incarnation_unix_ms, now);
        }
        let has_earlier_start = self.has_start_for_earlier_incarnation(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.state == WorkerState::New {
            // The renewal fenced off earlier owners, so their last lease was granted before it.
            let has_usual_lease = self.longest_leases_until <= now;
            let lease = if has_usual_lease {
                self.settings.lease
            } else {
                self.settings.max_lease
            };
            worker.bound_inherited_lease(now, lease);
        }
        worker.may_have_earlier_starts = has_earlier_start;
        if has_earlier_start {
            worker.allow_foreign_lease(now, self.settings.max_lease);
        }
        if worker.state != WorkerState::Reachable {
            log::info!("event=worker_reachable worker={id} was={:?}", worker.state);
            worker.state = WorkerState::Reachable;
            self.needs_placement = true;
        }
        // A worker that was silent for a moment gets work again.
        self.needs_placement |= now.since(worker.answered_at) > self.settings.unreachable_after;
        worker.clock = Some((answer.clock_ms, now));
        worker.answered_at = now;
        let processed = worker.last_processed_end;
        let new_ends = answer.ended.iter().filter(|end| end.number > processed);
        let mut has_new_ends = false;
        for end in new_ends {
            self.process_run_end(id, end, now);
            has_new_ends = true;
        }
        if has_new_ends && let Some(worker) = self.workers.get_mut(id) {
            // What other workers wait for is not stored by this answer.
            worker.acknowledge_stored_ends(|id, version| {
                let job = self.jobs.get(id);
                job.is_none_or(|job| job.stored_version >= version)
            });
        }
        self.reconcile_running(id, sent_at, answer, now);
        self.pace_best_effort(id, answer, now);
    }

    /// Resets the state of a worker that has started again. Tasks whose runs have certainly ended
    /// with its earlier incarnation are requeued. An order names the worker but not its
    /// incarnation, so that a start that no list of runs has shown yet may be carried out by the
    /// present one: such a task stays placed until the worker's list or a stop shows what became of
    /// it.
    pub(super) fn worker_restarted(
        &mut self,
        id: &WorkerId,
        incarnation_unix_ms: u64,
        now: BootTime,
    ) {
        let placed = self.workers.get(id).map(|worker| worker.placed.clone());
        let (may_go_on, over): (Vec<TaskId>, Vec<TaskId>) = placed
            .unwrap_or_default()
            .into_iter()
            .partition(|task| self.may_start_on_next_incarnation(task));
        log::warn!(
            "event=worker_reborn worker={id} incarnation_unix_ms={incarnation_unix_ms} ended={} \
             unclear={}",
            over.len(),
            may_go_on.len()
        );
        for task in &over {
            self.requeue(task, now, "worker_reborn");
        }
        for task in &may_go_on {
            // A confirmed stop holds for the incarnation that has confirmed it.
            match self.placement(task).map(|placed| placed.state) {
                Some(RunState::Stopping { .. }) => {
                    self.set_run_state(task, RunState::STOP_REQUESTED);
                }
                Some(RunState::RevokingStart { .. }) => {
                    self.set_run_state(task, RunState::Unconfirmed(now));
                }
                _ => {}
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.restart(incarnation_unix_ms, now);
            if !may_go_on.is_empty() {
                worker.allow_foreign_lease(now, self.settings.max_lease);
            }
        }
        self.needs_placement = true;
    }

    /// Returns whether the next incarnation of a task's worker may have started its run, or may
    /// still do so.
    fn may_start_on_next_incarnation(&self, id: &TaskId) -> bool {
        let is_unsent = || {
            self.actions
                .iter()
                .any(|action| matches!(action, Action::Start(order) if order.task == *id))
        };
        self.placement(id).is_some_and(|placed| match placed.state {
            RunState::Storing(_) => false,
            RunState::Sending => !is_unsent(),
            _ => !placed.is_listed,
        })
    }

    /// Returns whether a worker has a task that was placed on another incarnation of it.
    fn has_start_for_earlier_incarnation(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker
            .filter(|worker| worker.may_have_earlier_starts)
            .is_some_and(|worker| {
                let present = worker.report.incarnation_unix_ms;
                let mut placed = worker.placed.iter().filter_map(|task| self.placement(task));
                placed.any(|placed| placed.incarnation_unix_ms != present)
            })
    }

    fn process_run_end(&mut self, worker_id: &WorkerId, end: &RunEnd, now: BootTime) {
        let submission = &end.task.submission;
        let task = self
            .jobs
            .get(submission)
            .and_then(|job| job.task(&end.task));
        let is_current = task.is_some_and(|task| task.is_run(worker_id, end.run));
        let is_waiting = task.is_some_and(|task| task.phase == TaskPhase::Waiting);
        log::info!(
            "event=run_ended id={} run={} worker={worker_id} kind={:?} current={is_current}",
            end.task,
            end.run,
            end.kind
        );
        if is_current {
            self.learn_duration(worker_id, end, now);
            self.release(&end.task, now);
            self.mark_started(&end.task);
            self.end_stage(&end.task, Stage::Running, now);
        }
        if is_current || (is_waiting && end.kind == RunEndKind::Done) {
            self.apply_run_end(worker_id, end, now);
        }
        self.record_cleared(submission, now);
        let version = self.jobs.get(submission).map_or(0, |job| job.version);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.last_processed_end = end.number;
            worker
                .unacknowledged_ends
                .push_back((end.number, submission.clone(), version));
        }
        // An end without effect is also acknowledged only after the job's next batch.
        if self
            .jobs
            .get(submission)
            .is_some_and(|job| job.stored_version < version)
        {
            self.queue_for_batch(submission);
        }
    }

    /// Updates a task and its job after a run has ended.
    fn apply_run_end(&mut self, worker_id: &WorkerId, end: &RunEnd, now: BootTime) {
        let id = &end.task;
        let delay = self.settings.retry_delay;
        let members = self.gang_members_done_with(end);
        // The place of the reported member is already released.
        for member in members.iter().filter(|member| *member != id) {
            self.release(member, now);
        }
        let Some(job) = self.jobs.get_mut(&id.submission) else {
            return;
        };
        let max_attempts = self
            .config
            .queue(&job.submission.queue)
            .map_or(u32::MAX, |queue| queue.max_attempts.max(1));
        let step = job.step(id);
        let (is_long_running, is_gang) = (step.is_long_running, step.is_gang);
        let Some(task) = job.task_mut(id) else { return };
        if end.checkpoint.is_some() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        let mut has_failed = false;
        match end.kind {
            RunEndKind::Done if is_long_running => task.requeue(now, delay),
            RunEndKind::Done if is_gang => {
                for member in &members {
                    job.set_done(member);
                }
            }
            RunEndKind::Done => job.set_done(id),
            RunEndKind::Failed => {
                task.failures += 1;
                has_failed = !is_long_running && task.failures >= max_attempts;
                task.requeue(now, delay);
            }
            RunEndKind::Stopped
            | RunEndKind::Lapsed
            | RunEndKind::GangBroken
            | RunEndKind::GangIncomplete => task.requeue(now, delay),
        }
        let (is_done, is_active) = (job.is_done(), job.state == JobState::Active);
        match end.kind {
            RunEndKind::Done => {
                if let Some(worker) = self.workers.get_mut(worker_id) {
                    worker.failed_submissions.clear();
                }
            }
            RunEndKind::Failed => self.record_failure(worker_id, &id.submission, now),
            _ => {}
        }
        self.mark_dirty(&id.submission);
        if is_active && has_failed {
            self.finish(&id.submission, JobState::Failed, now);
        } else if is_active && is_done {
            self.finish(&id.submission, JobState::Completed, now);
        }
    }

    /// Returns the members of the gang that a run end completes, including the reported one: one end
    /// stands for all of them.
    fn gang_members_done_with(&self, end: &RunEnd) -> Vec<TaskId> {
        let step = self
            .jobs
            .get(&end.task.submission)
            .map(|job| job.step(&end.task))
            .filter(|step| step.is_gang && !step.is_long_running && end.kind == RunEndKind::Done);
        let count = step.map_or(0, |step| step.tasks);
        let member = |index| TaskId {
            index,
            ..end.task.clone()
        };
        (0..count).map(member).collect()
    }

    /// Records a failed run of a submission and quarantines the worker if it fails different
    /// submissions.
    pub(super) fn record_failure(
        &mut self,
        id: &WorkerId,
        submission: &SubmissionId,
        now: BootTime,
    ) {
        let quarantine_duration = self.settings.quarantine_duration;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.failed_submissions.contains(submission) {
            worker.failed_submissions.push(submission.clone());
        }
        if worker.failed_submissions.len() >= FAILURES_TO_QUARANTINE {
            worker.failed_submissions.clear();
            worker.quarantined_until = now + quarantine_duration;
            log::warn!("event=worker_quarantined worker={id} for={quarantine_duration:?}");
        }
    }

    /// Compares the runs that a worker reports with the tasks placed on it.
    fn reconcile_running(
        &mut self,
        worker_id: &WorkerId,
        sent_at: BootTime,
        answer: &LeaseRenewalResponse,
        now: BootTime,
    ) {
        // The answer may confirm starts, but leaves none unconfirmed that was not before.
        let may_have_unconfirmed_starts = self.requeue_unlisted(worker_id, sent_at, answer, now);
        let mut unexpected_load = Resources::default();
        for running in &answer.running {
            let id = &running.task;
            let mut job = self.jobs.get_mut(&id.submission);
            if job.as_ref().is_some_and(|job| is_to_be_adopted(job, id)) {
                self.adopt_run(worker_id, answer.incarnation_unix_ms, running, now);
                job = self.jobs.get_mut(&id.submission);
            }
            let Some(job) = job else {
                self.push_stop(worker_id, &running.task, running.run, "unknown_job");
                continue;
            };
            log_late_run(job, running, worker_id, now);
            let step = job.submission.steps.get(usize::from(running.task.step));
            let reserved = step.map(Step::reserved).unwrap_or_default();
            let current = job
                .task_mut(&running.task)
                .filter(|task| task.is_run(worker_id, running.run));
            let Some(task) = current else {
                unexpected_load += reserved;
                log::warn!(
                    "event=unexpected_run id={} run={} worker={worker_id}",
                    running.task,
                    running.run
                );
                self.push_stop(worker_id, &running.task, running.run, "unexpected_run");
                continue;
            };
            if running.checkpoint.is_some() {
                task.checkpoint.clone_from(&running.checkpoint);
            }
            let mut has_moved = false;
            if let Some(placement) = task.placement_mut() {
                placement.is_listed = true;
                has_moved = placement.incarnation_unix_ms != answer.incarnation_unix_ms;
                placement.incarnation_unix_ms = answer.incarnation_unix_ms;
                if placement.progress_percent != running.percent {
                    placement.progress_percent = running.percent;
                    placement.progress_at = now;
                }
                match placement.state {
                    RunState::Unconfirmed(_)
                    | RunState::Inherited
                    | RunState::RevokingStart {
                        confirmed_at: None, ..
                    } => {
                        placement.state = RunState::Accepted(now);
                        placement.progress_at = now;
                    }
                    // The stop call has reached the run.
                    RunState::RevokingStart {
                        asked_at,
                        confirmed_at,
                    } => {
                        placement.state = RunState::Stopping {
                            asked_at: Some(asked_at),
                            confirmed_at,
                        };
                    }
                    _ => {}
                }
                job.has_started = true;
            }
            if has_moved {
                self.mark_dirty(&running.task.submission);
            }
        }
        if may_have_unconfirmed_starts {
            self.revoke_unlisted_starts(worker_id, sent_at, now);
        }
        if let Some(worker) = self.workers.get_mut(worker_id) {
            self.needs_placement |= worker.unexpected_load != unexpected_load;
            worker.unexpected_load = unexpected_load;
        }
    }

    /// Places a task without another run on a worker that lists a run of it: it must not start
    /// elsewhere while that run goes on. A gang's member is stopped, because the others do
    /// not run with it.
    fn adopt_run(
        &mut self,
        worker_id: &WorkerId,
        incarnation_unix_ms: u64,
        running: &ActiveRun,
        now: BootTime,
    ) {
        let id = &running.task;
        let Some(job) = self.jobs.get(&id.submission) else {
            return;
        };
        log::warn!(
            "event=run_adopted id={id} run={} worker={worker_id}",
            running.run
        );
        let state = if job.step(id).is_gang {
            RunState::STOP_REQUESTED
        } else {
            RunState::Accepted(now)
        };
        self.release(id, now);
        self.reserve(id, worker_id);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.allow_foreign_lease(now, self.settings.max_lease);
        }
        if let Some(task) = self
            .jobs
            .get_mut(&id.submission)
            .and_then(|job| job.task_mut(id))
        {
            task.last_run = task.last_run.max(running.run);
            task.phase = TaskPhase::Placed(Placement {
                worker: worker_id.clone(),
                incarnation_unix_ms,
                run: running.run,
                state,
                is_listed: true,
                progress_percent: running.percent,
                progress_at: now,
                pace_percent: 100,
            });
        }
        self.mark_dirty(&id.submission);
    }

    /// Requeues runs that the worker does not report and can no longer start. A response that may
    /// leave out ends proves nothing of the runs that it does not list. Returns whether starts on the
    /// worker may be unconfirmed or being revoked.
    fn requeue_unlisted(
        &mut self,
        worker_id: &WorkerId,
        sent_at: BootTime,
        answer: &LeaseRenewalResponse,
        now: BootTime,
    ) -> bool {
        let Some(worker) = self.workers.get(worker_id) else {
            return false;
        };
        if answer.may_have_more_ends {
            return true;
        }
        let mut has_unconfirmed_starts = false;
        let mut gone = Vec::new();
        for id in &worker.placed {
            let Some(placed) = self.placement(id) else {
                continue;
            };
            has_unconfirmed_starts |= matches!(
                placed.state,
                RunState::Unconfirmed(_) | RunState::RevokingStart { .. }
            );
            let is_over = match placed.state {
                RunState::Accepted(at) => at < sent_at,
                RunState::Stopping { confirmed_at, .. }
                | RunState::RevokingStart { confirmed_at, .. } => {
                    confirmed_at.is_some_and(|at| at < sent_at)
                }
                RunState::Inherited => true,
                RunState::Storing(_) | RunState::Sending | RunState::Unconfirmed(_) => false,
            };
            let is_listed = |run: &ActiveRun| run.run == placed.run && run.task == *id;
            if is_over && !answer.running.iter().any(is_listed) {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.requeue(&id, now, "not_listed");
        }
        has_unconfirmed_starts
    }
}

/// Returns whether a listed run becomes that of its task: the job goes on, and the task has no other
/// run.
fn is_to_be_adopted(job: &Job, id: &TaskId) -> bool {
    job.state == JobState::Active && job.task(id).is_some_and(Task::has_no_run)
}
