use rhubarbfall_core::{BootTime, RowVersion, SubmissionId, WaveId};

use super::Scheduler;
use super::late_jobs::log_if_late;
use crate::{
    Job, JobProgress, JobState, RunState, Stage, encode_progress_within, encode_submission,
};

/// The maximum number of entries in one transaction, as stated by the platform, less the condition
/// on the ownership and its renewal.
const MAX_BATCH_ENTRIES: usize = 98;

/// The maximum size of the values in one transaction, in bytes; the platform accepts 1 MB including
/// their encoding.
const MAX_BATCH_BYTES: usize = 500_000;

/// Rows to be stored in one transaction.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// The changed jobs.
    pub rows: Vec<BatchRow>,
    /// The waves with changed progress.
    pub waves: Vec<WaveRow>,
    /// The cancellations of submissions that have not arrived.
    pub early_cancellations: Vec<SubmissionId>,
    /// The kept cancellations to be removed.
    pub expired_cancellations: Vec<SubmissionId>,
}

impl Batch {
    /// Divides the batch into batches of one change each. The changes do not depend on each other.
    #[must_use]
    pub fn into_single_changes(self) -> Vec<Self> {
        let rows = self.rows.into_iter().map(|row| Self {
            rows: vec![row],
            ..Self::default()
        });
        let waves = self.waves.into_iter().map(|wave| Self {
            waves: vec![wave],
            ..Self::default()
        });
        let cancellations = self.early_cancellations.into_iter().map(|id| Self {
            early_cancellations: vec![id],
            ..Self::default()
        });
        let expired = self.expired_cancellations.into_iter().map(|id| Self {
            expired_cancellations: vec![id],
            ..Self::default()
        });
        rows.chain(waves)
            .chain(cancellations)
            .chain(expired)
            .collect()
    }
}

/// The progress of a wave to be stored.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveRow {
    /// The wave that the progress belongs to.
    pub id: WaveId,
    /// The encoded progress.
    pub progress: Vec<u8>,
    /// The version of the row to be replaced, or `None` if there is no row yet.
    pub replaces: Option<RowVersion>,
    /// The version of the wave that the row contains.
    pub version: u64,
}

/// The changes of a job to be stored.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchRow {
    /// The submission of the job.
    pub id: SubmissionId,
    /// The encoded submission, if it is not stored yet.
    pub submission: Option<Vec<u8>>,
    /// The encoded progress, if there is any.
    pub progress: Option<Vec<u8>>,
    /// The version of the progress row to be replaced, or `None` if there is no row yet.
    pub replaces: Option<RowVersion>,
    /// The version of the job that the rows contain.
    pub version: u64,
    state: JobState,
}

impl BatchRow {
    /// Returns the number of transaction entries: a condition and a write per row.
    fn entries(&self) -> usize {
        2 * (usize::from(self.submission.is_some()) + usize::from(self.progress.is_some()))
    }

    /// Returns the total size of the row's values in bytes.
    fn bytes(&self) -> usize {
        let length = |value: &Option<Vec<u8>>| value.as_ref().map_or(0, Vec::len);
        length(&self.submission) + length(&self.progress)
    }
}

fn batch_row(id: &SubmissionId, job: &Job, max_row_bytes: usize) -> BatchRow {
    let has_progress = job.has_begun || job.state.is_final();
    BatchRow {
        id: id.clone(),
        submission: (!job.is_accepted).then(|| encode_submission(&job.submission)),
        progress: has_progress
            .then(|| encode_progress_within(&JobProgress::of(job), max_row_bytes)),
        replaces: job.progress_row,
        version: job.version,
        state: job.state,
    }
}

impl Scheduler {
    /// Returns a batch of changed jobs and waves that fits into one transaction, or `None` if
    /// nothing has changed. The batch must be stored, with retries if needed, before the next one
    /// is taken.
    pub fn next_batch(&mut self) -> Option<Batch> {
        let waves = self.changed_waves();
        let early_cancellations = self.early_cancellations.to_store();
        let expired_cancellations = self.early_cancellations.to_remove();
        let mut rows = Vec::new();
        let mut entries = 2 * waves.len() + early_cancellations.len() + expired_cancellations.len();
        let (mut bytes, mut taken) = (0, 0);
        // Jobs after the last one of the previous batch have waited longest.
        let first = self
            .last_batched_job
            .as_ref()
            .map_or(0, |last| self.dirty.partition_point(|id| id <= last));
        self.dirty.rotate_left(first);
        for id in &self.dirty {
            if let Some(job) = self.jobs.get_mut(id) {
                let row = batch_row(id, job, self.settings.max_row_bytes);
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
        let batch = Batch {
            rows,
            waves,
            early_cancellations,
            expired_cancellations,
        };
        (batch != Batch::default()).then_some(batch)
    }

    /// Records that a batch was stored under `row_version`, and continues the starts and calls that
    /// waited for it.
    pub fn batch_stored(&mut self, batch: &Batch, row_version: RowVersion, now: BootTime) {
        let cordoned = self.vm_ops.cordoned();
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
                job.stages.end(Stage::Reporting, now);
                log_if_late(job, &self.config, now);
            }
            let stored = row.version;
            let ready = job.tasks_where(|task| {
                task.placement().is_some_and(
                    |run| matches!(run.state, RunState::Storing(version) if version <= stored),
                )
            });
            job.forget_tasks_if_over();
            self.send_stored_starts(&ready, &cordoned, now);
        }
        let cancellations = &mut self.early_cancellations;
        cancellations.stored(&batch.early_cancellations);
        cancellations.removed(&batch.expired_cancellations);
        for wave in &batch.waves {
            self.wave_stored(wave, row_version, now);
        }
        self.acknowledge_stored();
        self.needs_placement = true;
    }

    /// Advances the acknowledged run end of each worker as far as the jobs are stored.
    pub(super) fn acknowledge_stored(&mut self) {
        let jobs = &self.jobs;
        for (_, worker) in self.workers.iter_mut() {
            worker.acknowledge_stored_ends(|id, version| {
                jobs.get(id).is_none_or(|job| job.stored_version >= version)
            });
        }
    }
}
