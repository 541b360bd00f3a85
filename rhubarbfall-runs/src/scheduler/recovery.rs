use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion, SubmissionId, WorkerId};

use super::Scheduler;
use crate::{
    Job, JobProgress, JobState, OccurrenceSet, OpenTask, Placement, RunState, Submission, Task,
    TaskId, TaskPhase, TaskPosition, TaskRange, Worker, WorkerState,
};

/// The maximum age of a recovered submission; a higher age would not change its rank.
const MAX_RECOVERED_AGE: Duration = Duration::from_mins(1);

/// A job as stored by an earlier owner.
#[derive(Debug, Clone)]
pub struct StoredJob {
    /// The stored submission.
    pub submission: Submission,
    /// The progress with the version of its row, if it was stored.
    pub progress: Option<(JobProgress, RowVersion)>,
}

impl Scheduler {
    /// Takes over the jobs of an earlier owner. Runs on workers that do not answer count as running
    /// until `inherited_lease_expiry`, when all leases of that owner have certainly expired.
    pub fn recover(
        &mut self,
        stored: impl IntoIterator<Item = StoredJob>,
        inherited_lease_expiry: BootTime,
        now: BootTime,
        unix_ms: u64,
    ) {
        self.inherited_lease_expiry = Some(inherited_lease_expiry);
        self.interrupt_after = now + self.settings.takeover_interrupt_delay;
        for stored in stored {
            self.insert_recovered(recovered_job(stored, now, unix_ms));
        }
    }

    /// Returns whether no submission, and no cancellation of one, is known.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        self.jobs.is_empty() && self.unreadable.is_empty() && self.early_cancellations.is_empty()
    }

    /// Records submissions whose rows cannot be read. They are neither run nor accepted.
    pub fn recover_unreadable(&mut self, ids: Vec<SubmissionId>) {
        self.unreadable.extend(ids);
    }

    /// Returns whether the store has a submission of this identifier that cannot be read.
    #[must_use]
    pub fn is_unreadable(&self, id: &SubmissionId) -> bool {
        self.unreadable.contains(id)
    }

    /// Replaces a job that was taken for new, and of which nothing was stored, by what the store
    /// holds for its submission: a job, or `None` if that cannot be read. A cancellation of the
    /// replaced job applies to the stored one.
    pub fn submission_found(
        &mut self,
        id: &SubmissionId,
        stored: Option<StoredJob>,
        now: BootTime,
        unix_ms: u64,
    ) {
        match &stored {
            Some(StoredJob { progress, .. }) => {
                let state = progress.as_ref().map(|(progress, _)| progress.state);
                let state = state.unwrap_or_default();
                log::warn!("event=submission_found id={id} state={state}");
            }
            None => log::error!("event=submission_found id={id} state=unreadable"),
        }
        let placed = self
            .jobs
            .get(id)
            .map(|job| job.tasks_where(|task| task.placement().is_some()));
        for task in placed.unwrap_or_default() {
            self.release(&task, now);
        }
        let replaced = self.jobs.remove(id);
        self.dirty.retain(|dirty| dirty != id);
        self.needs_placement = true;
        let Some(stored) = stored else {
            self.unreadable.push(id.clone());
            return;
        };
        let mut job = recovered_job(stored, now, unix_ms);
        // Callers wait for versions of the replaced job.
        if let Some(replaced) = &replaced {
            job.version = job.version.max(replaced.version);
        }
        let is_cancelled = replaced.is_some_and(|replaced| replaced.state == JobState::Cancelled);
        let is_to_be_cancelled = is_cancelled && !job.state.is_final();
        if !is_to_be_cancelled {
            job.stored_version = job.version;
        }
        if !job
            .tasks_where(|task| task.placement().is_some())
            .is_empty()
        {
            let inherited = self.inherited_lease_expiry.unwrap_or_default();
            self.inherited_lease_expiry = Some(inherited.max(self.max_lease_end));
        }
        self.insert_recovered(job);
        if is_to_be_cancelled {
            self.finish(id, JobState::Cancelled, now);
        }
    }

    /// Adds a job that an earlier owner has stored, and reserves the resources of its placed tasks.
    fn insert_recovered(&mut self, job: Job) {
        let placed = job.tasks_where(|task| task.placement().is_some());
        self.jobs.insert(job);
        for task in placed {
            let worker = self.placement(&task).map(|placed| placed.worker.clone());
            if let Some(worker) = worker {
                self.reserve(&task, &worker);
                self.add_inherited_on_unlisted(worker, task);
            }
        }
    }

    /// Remembers a task on a worker that is not listed yet, to reserve its resources once the
    /// worker is.
    fn add_inherited_on_unlisted(&mut self, worker: WorkerId, task: TaskId) {
        if self.workers.get(&worker).is_some() {
            return;
        }
        self.inherited_on_unlisted
            .entry(worker)
            .or_default()
            .push(task);
    }

    /// Reserves the resources of tasks that an earlier owner placed on a worker.
    pub(super) fn reserve_inherited(&mut self, id: &WorkerId) {
        for task in self.inherited_on_unlisted.remove(id).unwrap_or_default() {
            let Some(job) = self.jobs.get(&task.submission) else {
                continue;
            };
            let is_here = job
                .task(&task)
                .and_then(Task::placement)
                .is_some_and(|placed| placed.worker == *id);
            if let Some(worker) = self.workers.get_mut(id).filter(|_| is_here) {
                let step = job.step(&task);
                worker.add(task, step);
            }
        }
    }

    /// Returns how long leases of earlier owners may still be valid; zero once all have expired.
    #[must_use]
    pub fn inherited_leases_remaining(&self, now: BootTime) -> Duration {
        self.inherited_lease_expiry
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Allows for earlier owners that reached workers which had started again, as owners of earlier
    /// versions may: until then, such a worker may hold the longest lease that workers grant, however
    /// long its owner's leases are.
    pub const fn expect_longest_leases_until(&mut self, until: BootTime) {
        self.longest_leases_until = until;
    }

    /// Records that leases of earlier owners last until `until` at most, which is earlier than what
    /// was known at the takeover.
    pub fn bound_inherited_leases(&mut self, until: BootTime) {
        let Some(known) = self.inherited_lease_expiry.filter(|known| until < *known) else {
            return;
        };
        self.inherited_lease_expiry = Some(until);
        for (_, worker) in self.workers.iter_mut() {
            // A worker that has started again since may hold a longer lease.
            if worker.state == WorkerState::New && worker.lease_expiry == known {
                worker.lease_expiry = until;
            }
        }
    }

    /// Requeues inherited runs on unreachable workers once all inherited leases have expired.
    pub(super) fn requeue_unreachable_inherited(&mut self, now: BootTime) {
        if self.inherited_lease_expiry.is_none_or(|until| now <= until) {
            return;
        }
        self.inherited_lease_expiry = None;
        let is_stale = |task: &Task| {
            task.placement().is_some_and(|placed| {
                let worker = self.workers.get(&placed.worker);
                // A worker that has started again since may hold a longer lease.
                let may_hold_lease = |worker: &Worker| {
                    worker.state == WorkerState::New && now <= worker.lease_expiry
                };
                let is_silent = worker.is_none_or(|worker| worker.state == WorkerState::New);
                let is_of_earlier_owner = match placed.state {
                    RunState::Inherited => true,
                    RunState::Stopping { .. } => is_silent,
                    _ => false,
                };
                is_of_earlier_owner && !worker.is_some_and(may_hold_lease)
            })
        };
        let mut stale = Vec::new();
        for job in self.jobs() {
            stale.extend(job.tasks_where(is_stale));
        }
        for id in stale {
            self.requeue(&id, now, "inherited_lease_lapsed");
        }
    }
}

/// Creates a job from what an earlier owner has stored.
fn recovered_job(stored: StoredJob, now: BootTime, unix_ms: u64) -> Job {
    let StoredJob {
        submission,
        progress,
    } = stored;
    // The clocks of entries differ slightly and may step.
    let age_ms = unix_ms.saturating_sub(submission.received_unix_ms);
    let age = Duration::from_millis(age_ms).min(MAX_RECOVERED_AGE);
    let mut job = Job::new(Arc::new(submission), now.before(age));
    job.was_sent = true;
    job.is_accepted = true;
    job.stored_version = job.version;
    if let Some((progress, row_version)) = progress {
        restore(&mut job, &progress, now);
        job.progress_row = Some(row_version);
    }
    job
}

fn restore(job: &mut Job, progress: &JobProgress, now: BootTime) {
    job.state = progress.state;
    job.stored_state = progress.state;
    job.has_begun = progress.has_begun;
    job.has_started = progress.proves_start();
    if progress.state.is_final() {
        job.finished_at = Some(now);
        job.ended_at = Some(now);
    }
    let state = if progress.state.is_final() {
        RunState::STOP_REQUESTED
    } else {
        RunState::Inherited
    };
    let occurrences = job.submission.occurrences();
    let is_over = progress.state.is_final();
    job.done = OccurrenceSet::first(progress.done_occurrences.min(occurrences));
    for of_occurrence in progress
        .done
        .ranges()
        .chunk_by(|one, other| one.occurrence == other.occurrence)
        .filter(|_| !is_over)
    {
        restore_done(job, of_occurrence);
    }
    // Of a job that is over, only the runs matter that have to be stopped.
    let is_needed =
        |open: &&OpenTask| open.position.0 < occurrences && (!is_over || open.placed.is_some());
    for open in progress.open.iter().filter(is_needed) {
        let id = task_id(job, open.position);
        job.begin_occurrence(id.occurrence);
        let Some(task) = job
            .task_mut(&id)
            .filter(|task| task.phase != TaskPhase::Done)
        else {
            continue;
        };
        task.failures = open.failures;
        task.last_run = open.last_run;
        task.checkpoint.clone_from(&open.checkpoint);
        if let Some(placed) = &open.placed {
            task.phase = TaskPhase::Placed(Placement {
                worker: placed.worker.clone(),
                incarnation_unix_ms: placed.incarnation_unix_ms,
                run: placed.run,
                state,
                is_listed: false,
                progress_percent: 0,
                progress_at: now,
                pace_percent: 100,
            });
        }
    }
}

/// Restores the done tasks of one occurrence. One that is done is not begun again: rows of earlier
/// versions state each task of all occurrences.
fn restore_done(job: &mut Job, ranges: &[TaskRange]) {
    let Some(occurrence) = ranges.first().map(|range| range.occurrence) else {
        return;
    };
    if occurrence >= job.submission.occurrences() || job.done.contains(occurrence) {
        return;
    }
    let mut steps = job.submission.steps.iter().enumerate();
    let is_done = steps.all(|(number, step)| {
        let is_whole = |range: &TaskRange| {
            usize::from(range.step) == number && range.first == 0 && range.count >= step.tasks
        };
        ranges.iter().any(is_whole)
    });
    if is_done {
        job.done.insert(occurrence);
        return;
    }
    job.begin_occurrence(occurrence);
    for position in ranges.iter().flat_map(|range| range.positions()) {
        let id = task_id(job, position);
        job.set_done(&id);
    }
}

fn task_id(job: &Job, (occurrence, step, index): TaskPosition) -> TaskId {
    job.task_id(occurrence, usize::from(step), index as usize)
}
