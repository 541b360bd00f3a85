use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, CustomerId, QueueId, SubmissionId};

use super::Scheduler;
use super::token_bucket::TokenBucket;
use crate::{Job, JobState, RunState, Submission, SubmissionError, TaskPhase};

/// The burst allowed to a customer, as a duration at its rate: one second, the interval in which
/// the platform counts submissions.
const ARRIVAL_BURST: Duration = Duration::from_secs(1);

/// The job version that must be stored for its submission to count as accepted.
const ACCEPTED_VERSION: u64 = 1;

/// The version that stands for the cancellation of a submission that has not arrived. If the
/// submission arrives before the cancellation is stored, every stored version of its job contains
/// the cancellation.
const EARLY_CANCELLATION_VERSION: u64 = 0;

/// The state of a submission as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has reached the maximum number of failures.
    Failed,
    /// The customer cancelled it.
    Cancelled,
}

impl Scheduler {
    /// Adds a submission unless it is known, and returns the job version that must be stored for it
    /// to be accepted. A submission whose cancellation came first is accepted as cancelled; one whose
    /// stored row cannot be read is not added, and no version of it is ever stored.
    pub fn submit(&mut self, submission: Submission, now: BootTime) -> u64 {
        let id = submission.id.clone();
        if self.jobs.get(&id).is_some() || self.is_unreadable(&id) {
            return ACCEPTED_VERSION;
        }
        let is_cancelled = self.early_cancellations.contains(&id);
        let is_excess = !self.is_within_weight(&submission, now);
        let is_expected_to_run = !is_excess && !is_cancelled;
        if let Some(queue) = self
            .config
            .queue(&submission.queue)
            .filter(|_| is_expected_to_run)
        {
            self.recent_work.add(&queue.service, &submission, now);
        }
        let mut job = Job::new(Arc::new(submission), now);
        job.is_excess = is_excess;
        log::info!(
            "event=job_received id={id} queue={} customer={:?} steps={} is_excess={is_excess} \
             config={} starts_per_s={:?}",
            job.submission.queue,
            job.submission.customer.as_ref().map(CustomerId::as_str),
            job.submission.steps.len(),
            self.config.version,
            self.start_rate.per_s(now)
        );
        // Occurrences that are due later begin in `tick`.
        self.hold(&job.submission);
        self.held_work.begin_due(&mut job, 0);
        self.jobs.insert(job);
        if is_cancelled {
            self.finish(&id, JobState::Cancelled, now);
        } else {
            self.mark_dirty(&id);
        }
        self.needs_placement = true;
        ACCEPTED_VERSION
    }

    /// Checks whether a submission can be stored and run. One that is known already passes.
    ///
    /// # Errors
    ///
    /// Returns [`SubmissionError`] for the first violated rule.
    pub fn check(&self, submission: &Submission) -> Result<(), SubmissionError> {
        if self.jobs.get(&submission.id).is_some() || self.is_unreadable(&submission.id) {
            return Ok(());
        }
        submission.check_storable(self.settings.max_row_bytes)
    }

    /// Removes a submission that was never part of a batch. Returns whether it will certainly never
    /// run, which is false if the store may contain it. A submission that has been cancelled is not
    /// removed, because its cancellation applies to later copies of its request as well.
    pub fn withdraw(&mut self, id: &SubmissionId, now: BootTime) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return !self.is_unreadable(id);
        };
        if job.was_sent || job.state.is_final() {
            return false;
        }
        for task in job.tasks_where(|task| task.placement().is_some()) {
            self.release(&task, now);
        }
        self.jobs.remove(id);
        self.dirty.retain(|dirty| dirty != id);
        log::info!("event=job_withdrawn id={id}");
        true
    }

    /// Returns whether the weight of a submission's customer allows it, without counting it.
    pub(super) fn has_room_in_weight(&self, submission: &Submission, now: BootTime) -> bool {
        let customer = submission.customer.as_ref();
        let bucket = customer.and_then(|id| self.arrival_limits.get(id));
        let rate_per_s = customer.and_then(|id| self.rate_within_weight(id));
        match (bucket, rate_per_s) {
            (Some(bucket), Some(rate_per_s)) => bucket.has_token(rate_per_s, now),
            _ => true,
        }
    }

    /// Counts a submission against the rate that its customer's weight allows, and returns whether
    /// it is within that rate.
    fn is_within_weight(&mut self, submission: &Submission, now: BootTime) -> bool {
        let Some(customer) = &submission.customer else {
            return true;
        };
        let Some(rate_per_s) = self.rate_within_weight(customer) else {
            return true;
        };
        // Cells do not receive equal parts of a burst, so that each of them allows all of it.
        let burst = ARRIVAL_BURST * u32::from(self.settings.cells);
        self.arrival_limits
            .entry(customer.clone())
            .or_insert_with(|| TokenBucket::new(rate_per_s, burst, now))
            .admit(rate_per_s, now)
    }

    /// Returns the submissions a second of a customer that its weight allows in this cell, whose part
    /// of all submissions is drawn by their identifiers.
    fn rate_within_weight(&self, customer: &CustomerId) -> Option<f64> {
        let weight = self.config.customer(customer)?.weight;
        Some(f64::from(weight) / f64::from(self.settings.cells))
    }

    /// Returns whether a version of a job is stored, or the cancellation of a submission that has not
    /// arrived. Returns `None` if there is neither.
    #[must_use]
    pub fn is_stored(&self, id: &SubmissionId, version: u64) -> Option<bool> {
        match self.jobs.get(id) {
            Some(job) => Some(job.stored_version >= version.max(ACCEPTED_VERSION)),
            None if version == EARLY_CANCELLATION_VERSION => self.early_cancellations.is_stored(id),
            None => None,
        }
    }

    /// Returns the stored state of a submission, or `None` if the submission is unknown or not
    /// stored.
    #[must_use]
    pub fn submission_state(&self, id: &SubmissionId) -> Option<SubmissionState> {
        let job = self.jobs.get(id).filter(|job| job.is_accepted)?;
        Some(match job.stored_state {
            JobState::Completed => SubmissionState::Completed,
            JobState::Failed => SubmissionState::Failed,
            JobState::Cancelled => SubmissionState::Cancelled,
            JobState::Active if job.has_started => SubmissionState::Running,
            JobState::Active => SubmissionState::Queued,
        })
    }

    /// Returns the number of a queue's accepted submissions that have not started.
    #[must_use]
    pub fn pending(&self, queue: &QueueId) -> usize {
        self.jobs
            .active()
            .filter(|job| job.submission.queue == *queue)
            .filter(|job| job.is_accepted && !job.has_started)
            .count()
    }

    /// Cancels a submission and returns the job version that must be stored. The cancellation of an
    /// unknown submission is kept for the case that the submission arrives later; returns `None` if
    /// too many are kept.
    pub fn cancel(&mut self, id: &SubmissionId, now: BootTime) -> Option<u64> {
        let Some(job) = self.jobs.get(id) else {
            let is_kept = self.early_cancellations.keep(id, now);
            return is_kept.then_some(EARLY_CANCELLATION_VERSION);
        };
        if job.state.is_final() {
            return Some(job.version);
        }
        self.finish(id, JobState::Cancelled, now);
        self.jobs.get(id).map(|job| job.version)
    }

    /// Sets the final state of a job and stops its runs.
    pub(super) fn finish(&mut self, id: &SubmissionId, state: JobState, now: BootTime) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.state = state;
        job.finished_at = Some(now);
        let waited = job
            .placed_at
            .map(|placed_at| placed_at.since(job.accepted_at).as_millis());
        log::info!(
            "event=job_ended id={id} queue={} state={state} took_ms={} waited_ms={waited:?} \
             was_deferred={} is_excess={} estimated_ms={}",
            job.submission.queue,
            now.since(job.accepted_at).as_millis(),
            job.was_deferred,
            job.is_excess,
            job.critical_path.as_millis()
        );
        let placed = job.tasks_where(|task| task.placement().is_some());
        for task in &placed {
            if let Some(task) = job.task_mut(task)
                && let TaskPhase::Placed(placement) = &mut task.phase
                && !placement.state.is_stopping()
            {
                placement.state = RunState::STOP_REQUESTED;
            }
        }
        for task in &placed {
            self.set_start_pending(task, false);
        }
        self.jobs.set_ended(id);
        self.mark_dirty(id);
        self.needs_placement = true;
        self.record_cleared(id, now);
    }

    /// Removes ended jobs after their retention time. A job with a placed run stays, because the run
    /// takes room until it has certainly ended.
    pub(super) fn remove_ended_jobs(&mut self, now: BootTime) {
        let keep = self.settings.ended_retention;
        let has_placed = |job: &Job| {
            let placed = job.tasks_where(|task| task.placement().is_some());
            !placed.is_empty()
        };
        let is_expired = |job: &Job| {
            let is_due = job
                .ended_at
                .is_some_and(|ended_at| now.since(ended_at) > keep);
            is_due && !has_placed(job)
        };
        let expired: Vec<SubmissionId> = self
            .jobs
            .ended()
            .filter(|job| is_expired(job))
            .map(|job| job.submission.id.clone())
            .collect();
        for id in expired {
            self.jobs.remove(&id);
        }
    }
}
