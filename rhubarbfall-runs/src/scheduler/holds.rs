use std::net::SocketAddr;

use rhubarbfall_core::{BootTime, SubmissionId, WorkerId};

use super::Scheduler;
use crate::{
    HoldAnswer, JobState, Order, Phase, Resources, RunEnd, RunEndKind, Step, TaskId, WorkerState,
};

/// Failures of different submissions, with none done in between, after which a worker is taken to
/// be at fault: one may be the submission's own.
const FAILURES_TO_QUARANTINE: usize = 2;

/// A call that renews a worker's leases and asks what runs there.
#[derive(Debug, Clone, PartialEq)]
pub struct HoldOrder {
    /// Where the worker takes orders.
    pub address: SocketAddr,
    /// The end of the leases on the worker's clock; `None` renews nothing.
    pub lease_deadline_ms: Option<u64>,
    /// The highest end that the worker may forget.
    pub acknowledged: u64,
    /// Whether anything is placed there.
    pub is_busy: bool,
}

impl Scheduler {
    /// Prepares a call that renews a worker's leases, or `None` when the worker is forgotten.
    pub fn hold_order(&mut self, worker: &WorkerId, now: BootTime) -> Option<HoldOrder> {
        let lease = (now + self.settings.lease).min(self.leases_until);
        let worker = self.workers.get_mut(worker)?;
        let is_busy = !worker.placed.is_empty();
        // A worker that does not answer must lapse, so that its tasks can start elsewhere.
        let is_silent = now.since(worker.answered_at) > self.settings.silent_after;
        let wants_lease =
            is_busy && lease > now && worker.state == WorkerState::InTouch && !is_silent;
        Some(HoldOrder {
            address: worker.report.address,
            lease_deadline_ms: if wants_lease {
                worker.grant_lease(lease)
            } else {
                None
            },
            acknowledged: worker.stored_end,
            is_busy,
        })
    }

    /// Takes what a worker lists. `sent_at` is when the call was sent.
    pub fn hold_answered(
        &mut self,
        id: &WorkerId,
        sent_at: BootTime,
        answer: &HoldAnswer,
        now: BootTime,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.report.born_unix_ms != answer.born_unix_ms {
            self.worker_reborn(id, answer.born_unix_ms, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.state == WorkerState::New {
            // The call fenced earlier owners off, so that their last lease was granted before it.
            worker.bound_inherited_lease(now, self.settings.lease);
        }
        if worker.state != WorkerState::InTouch {
            log::info!("event=worker_in_touch worker={id} was={:?}", worker.state);
            worker.state = WorkerState::InTouch;
            self.has_news = true;
        }
        worker.clock = Some((answer.clock_ms, now));
        worker.answered_at = now;
        let news: Vec<RunEnd> = answer
            .ended
            .iter()
            .filter(|end| end.number > worker.seen_end)
            .cloned()
            .collect();
        for end in &news {
            self.take_end(id, end, now);
        }
        if !news.is_empty() {
            self.acknowledge_stored();
        }
        self.take_running(id, sent_at, answer, now);
        self.pace_fillers(id, answer, now);
    }

    /// Forgets what was known of an earlier life of a worker.
    pub(super) fn worker_reborn(&mut self, id: &WorkerId, born_unix_ms: u64, now: BootTime) {
        log::warn!("event=worker_reborn worker={id} born_unix_ms={born_unix_ms}");
        self.drop_runs_of(id, now, "worker_reborn");
        if let Some(worker) = self.workers.get_mut(id) {
            let mut report = worker.report.clone();
            report.born_unix_ms = born_unix_ms;
            *worker = crate::Worker::new(report, now);
        }
    }

    fn take_end(&mut self, worker_id: &WorkerId, end: &RunEnd, now: BootTime) {
        let submission = &end.task.submission;
        let task = self
            .jobs
            .get(submission)
            .and_then(|job| job.task(&end.task));
        let is_ours = task.is_some_and(|task| task.is_run(worker_id, end.run));
        let waits = task.is_some_and(|task| task.phase == Phase::Waiting);
        log::info!(
            "event=run_ended id={} run={} worker={worker_id} how={:?} current={is_ours}",
            end.task,
            end.run,
            end.kind
        );
        if is_ours {
            self.release(&end.task, now);
            self.note_started(&end.task);
        }
        if is_ours || (waits && end.kind == RunEndKind::Done) {
            self.note_end(worker_id, end, now);
        }
        let version = self.jobs.get(submission).map_or(0, |job| job.version);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.seen_end = end.number;
            worker
                .ends
                .push_back((end.number, submission.clone(), version));
        }
        // An end that changes nothing still waits for the job's next batch.
        if self
            .jobs
            .get(submission)
            .is_some_and(|job| job.stored_version < version)
        {
            self.queue_for_batch(submission);
        }
    }

    /// Changes a task by the end of its run.
    fn note_end(&mut self, worker_id: &WorkerId, end: &RunEnd, now: BootTime) {
        let id = &end.task;
        let pause = self.settings.retry_pause;
        let Some(job) = self.jobs.get_mut(&id.submission) else {
            return;
        };
        let max_attempts = self
            .config
            .queue(&job.submission.queue)
            .map_or(u32::MAX, |queue| queue.max_attempts.max(1));
        let step = job.step(id);
        let (is_lasting, is_gang, members) = (step.is_lasting, step.is_gang, step.tasks);
        let Some(task) = job.task_mut(id) else { return };
        if end.checkpoint.is_some() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        let mut has_failed = false;
        match end.kind {
            RunEndKind::Done if is_lasting => task.requeue(now, pause),
            RunEndKind::Done if is_gang => {
                for index in 0..members {
                    job.set_done(&TaskId {
                        index,
                        ..id.clone()
                    });
                }
            }
            RunEndKind::Done => job.set_done(id),
            RunEndKind::Failed => {
                task.failures += 1;
                has_failed = !is_lasting && task.failures >= max_attempts;
                task.requeue(now, pause);
            }
            RunEndKind::Stopped
            | RunEndKind::Lapsed
            | RunEndKind::GangBroken
            | RunEndKind::GangIncomplete => task.requeue(now, pause),
        }
        let (is_done, is_active) = (job.is_done(), job.state == JobState::Active);
        match end.kind {
            RunEndKind::Done => {
                if let Some(worker) = self.workers.get_mut(worker_id) {
                    worker.failed.clear();
                }
            }
            RunEndKind::Failed => self.note_failure(worker_id, &id.submission, now),
            _ => {}
        }
        self.mark_dirty(&id.submission);
        if is_active && has_failed {
            self.finish(&id.submission, JobState::Failed, now);
        } else if is_active && is_done {
            self.finish(&id.submission, JobState::Completed, now);
        }
    }

    /// Notes a failure against a worker, and quarantines one that fails what others would not.
    pub(super) fn note_failure(&mut self, id: &WorkerId, submission: &SubmissionId, now: BootTime) {
        let quarantine = self.settings.quarantine;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.failed.contains(submission) {
            worker.failed.push(submission.clone());
        }
        if worker.failed.len() >= FAILURES_TO_QUARANTINE {
            worker.failed.clear();
            worker.quarantined_until = now + quarantine;
            log::warn!("event=worker_quarantined worker={id} for={quarantine:?}");
        }
    }

    /// Compares what a worker lists as running with what is placed there.
    fn take_running(
        &mut self,
        worker_id: &WorkerId,
        sent_at: BootTime,
        answer: &HoldAnswer,
        now: BootTime,
    ) {
        let mut strays = Resources::default();
        for running in &answer.running {
            let Some(job) = self.jobs.get_mut(&running.task.submission) else {
                self.order_stop(worker_id, &running.task, running.run);
                continue;
            };
            let step = job.submission.steps.get(usize::from(running.task.step));
            let reserved = step.map(Step::reserved).unwrap_or_default();
            let current = job
                .task_mut(&running.task)
                .filter(|task| task.is_run(worker_id, running.run));
            let Some(task) = current else {
                strays += reserved;
                log::warn!(
                    "event=stray_run id={} run={} worker={worker_id}",
                    running.task,
                    running.run
                );
                self.order_stop(worker_id, &running.task, running.run);
                continue;
            };
            if running.checkpoint.is_some() {
                task.checkpoint.clone_from(&running.checkpoint);
            }
            if let Some(placement) = task.placement_mut() {
                if placement.percent != running.percent {
                    placement.percent = running.percent;
                    placement.progress_at = now;
                }
                if matches!(placement.order, Order::Unclear(_) | Order::Inherited) {
                    placement.order = Order::Accepted(now);
                    placement.progress_at = now;
                }
                job.has_started = true;
            }
        }
        self.drop_unlisted(worker_id, sent_at, answer, now);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            self.has_news |= worker.strays != strays;
            worker.strays = strays;
        }
    }

    /// Gives up runs that the worker neither lists nor can start any more.
    fn drop_unlisted(
        &mut self,
        worker_id: &WorkerId,
        sent_at: BootTime,
        answer: &HoldAnswer,
        now: BootTime,
    ) {
        let is_gone = |id: &&TaskId| {
            self.placement(id).is_some_and(|placed| {
                let is_over = match placed.order {
                    Order::Accepted(at) => at < sent_at,
                    Order::Stopping { confirmed_at, .. } => {
                        confirmed_at.is_some_and(|at| at < sent_at)
                    }
                    Order::Inherited => true,
                    Order::Recording(_) | Order::Sending | Order::Unclear(_) => false,
                };
                let mut running = answer.running.iter();
                is_over && !running.any(|entry| entry.run == placed.run && entry.task == **id)
            })
        };
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let gone: Vec<TaskId> = worker.placed.iter().filter(is_gone).cloned().collect();
        for id in gone {
            self.requeue(&id, now, "not_listed");
        }
    }
}
