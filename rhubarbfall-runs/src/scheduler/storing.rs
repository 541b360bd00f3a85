use rhubarbfall_core::{BootTime, RowVersion, SubmissionId, WaveId};

use super::Scheduler;
use super::action::{Action, StartOrder};
use crate::{
    Job, JobProgress, JobState, RunState, StepId, TaskId, encode_progress, encode_submission,
};

/// The most entries of one transaction, as the platform states it, less the ownership's condition
/// and its renewal.
const MAX_BATCH_ENTRIES: usize = 98;

/// The most bytes of values in one transaction: the platform takes 1 MB, with their encoding.
const MAX_BATCH_BYTES: usize = 500_000;

/// Rows that are stored together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// The rows, one a job.
    pub rows: Vec<BatchRow>,
    /// The waves whose progress changed.
    pub waves: Vec<WaveRow>,
}

/// What is stored of a wave.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveRow {
    /// The wave.
    pub id: WaveId,
    /// The progress.
    pub progress: Vec<u8>,
    /// The version of the row that the progress replaces, if there is one.
    pub replaces: Option<RowVersion>,
    /// The wave's version that the row holds.
    pub version: u64,
}

/// What is stored of one job.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchRow {
    /// The submission.
    pub id: SubmissionId,
    /// The submission itself, when it is not stored yet.
    pub submission: Option<Vec<u8>>,
    /// The progress, unless there is none to tell.
    pub progress: Option<Vec<u8>>,
    /// The version of the row that the progress replaces, if there is one.
    pub replaces: Option<RowVersion>,
    /// The job's version that the rows hold.
    pub version: u64,
    state: JobState,
}

impl BatchRow {
    /// Returns how many entries of a transaction the row takes: a condition and a write each.
    fn entries(&self) -> usize {
        2 * (usize::from(self.submission.is_some()) + usize::from(self.progress.is_some()))
    }

    /// Returns the size of the row's values.
    fn bytes(&self) -> usize {
        let length = |value: &Option<Vec<u8>>| value.as_ref().map_or(0, Vec::len);
        length(&self.submission) + length(&self.progress)
    }
}

fn batch_row(id: &SubmissionId, job: &Job) -> BatchRow {
    let has_progress = job.has_begun || job.state.is_final();
    BatchRow {
        id: id.clone(),
        submission: (!job.is_accepted).then(|| encode_submission(&job.submission)),
        progress: has_progress.then(|| encode_progress(&JobProgress::of(job))),
        replaces: job.progress_row,
        version: job.version,
        state: job.state,
    }
}

impl Scheduler {
    /// Takes jobs that have changed, as many as fit into one transaction. The batch has to be
    /// stored, whatever it takes, before the next one is taken.
    pub fn next_batch(&mut self) -> Option<Batch> {
        let waves = self.changed_waves();
        let mut rows = Vec::new();
        let (mut entries, mut bytes, mut taken) = (2 * waves.len(), 0, 0);
        // Those after the last one of the batch before have waited longest.
        let first = self
            .last_batched_job
            .as_ref()
            .map_or(0, |last| self.dirty.partition_point(|id| id <= last));
        self.dirty.rotate_left(first);
        for id in &self.dirty {
            if let Some(job) = self.jobs.get_mut(id) {
                let row = batch_row(id, job);
                entries += row.entries();
                bytes += row.bytes();
                if !rows.is_empty() && (entries > MAX_BATCH_ENTRIES || bytes > MAX_BATCH_BYTES) {
                    break;
                }
                job.was_sent = true;
                rows.push(row);
            }
            taken += 1;
        }
        if let Some(last) = self.dirty.drain(..taken).next_back() {
            self.last_batched_job = Some(last);
        }
        self.dirty.sort_unstable();
        (!rows.is_empty() || !waves.is_empty()).then_some(Batch { rows, waves })
    }

    /// Notes that a batch is stored under `row_version`, and begins what waited for it.
    pub fn batch_stored(&mut self, batch: &Batch, row_version: RowVersion, now: BootTime) {
        for row in &batch.rows {
            let Some(job) = self.jobs.get_mut(&row.id) else {
                continue;
            };
            job.is_accepted = true;
            job.stored_version = row.version;
            job.stored_state = row.state;
            if row.progress.is_some() {
                job.progress_row = Some(row_version);
            }
            if row.state.is_final() && job.ended_at.is_none() {
                job.ended_at = Some(now);
            }
            let stored = row.version;
            let ready = job.tasks_where(|task| {
                task.placement().is_some_and(
                    |run| matches!(run.state, RunState::Storing(version) if version <= stored),
                )
            });
            for task in ready {
                self.send_start(&task, now);
            }
        }
        for wave in &batch.waves {
            self.wave_stored(wave, row_version);
        }
        self.acknowledge_stored();
        self.needs_placement = true;
    }

    fn send_start(&mut self, id: &TaskId, now: BootTime) {
        let Some(placement) = self.placement(id) else {
            return;
        };
        let (worker_id, run, born) = (
            placement.worker.clone(),
            placement.run,
            placement.incarnation_unix_ms,
        );
        let lease = (now + self.settings.lease).min(self.max_lease_end);
        let Some(worker) = self.workers.get_mut(&worker_id) else {
            return self.requeue(id, now, "worker_gone");
        };
        let deadline = (lease > now && worker.report.incarnation_unix_ms == born)
            .then(|| worker.grant_lease(lease))
            .flatten();
        let Some(lease_deadline_ms) = deadline else {
            return self.requeue(id, now, "no_lease");
        };
        let address = worker.report.address;
        let Some(job) = self.jobs.get(&id.submission) else {
            return;
        };
        let needs_ticket = self.config.needs_ticket(&job.submission.queue);
        let ticket = self
            .workers
            .get(&worker_id)
            .filter(|_| needs_ticket)
            .and_then(|worker| self.advice.ticket(&StepId::of(id), worker, now));
        if needs_ticket && ticket.is_none() {
            return self.requeue(id, now, "ticket_expired");
        }
        let order = StartOrder {
            worker: worker_id,
            address,
            task: id.clone(),
            run,
            program: job.submission.program.clone(),
            checkpoint: job.task(id).and_then(|task| task.checkpoint.clone()),
            lease_deadline_ms,
            ticket,
        };
        self.set_run_state(id, RunState::Sending);
        self.actions.push(Action::Start(order));
    }

    /// Lets workers forget the ends that are stored.
    pub(super) fn acknowledge_stored(&mut self) {
        for (_, worker) in self.workers.iter_mut() {
            while let Some((number, id, version)) = worker.unacknowledged_ends.front() {
                let is_stored = self
                    .jobs
                    .get(id)
                    .is_none_or(|job| job.stored_version >= *version);
                if !is_stored {
                    break;
                }
                worker.last_stored_end = worker.last_stored_end.max(*number);
                worker.unacknowledged_ends.pop_front();
            }
        }
    }
}
