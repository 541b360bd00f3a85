//! Store rows that hold submissions, their progress and the progress of waves.

use std::sync::Arc;

use litemap::LiteMap;
use rhubarbfall_core::{RowVersion, SubmissionId, WaveId};
use rhubarbfall_runs::scheduler::{
    Batch, StoredJob, SubmissionState, WaveProgress, encode_early_cancellation,
};
use rhubarbfall_runs::{
    JobProgress, JobState, Submission, decode_progress, decode_submission, decode_wave,
};
use rhubarbfall_site::{CommitOutcome, RowKey, StoreError, StoredRow, Transaction};

use crate::cell_state::CellState;
use crate::node::Node;
use crate::owner::Owner;
use crate::ownership::owner_transaction;

/// Table of submissions, which never change.
const SUBMISSION_TABLE: &str = "submission";

/// Table of the progress of submissions.
const PROGRESS_TABLE: &str = "progress";

/// Table of the cancellations that are stored apart from the progress of their submissions.
pub(super) const CANCELLATION_TABLE: &str = "cancellation";

/// Table of the progress of waves.
const WAVE_TABLE: &str = "wave";

/// State stored by earlier owners.
#[derive(Debug)]
pub(super) struct LoadedState {
    pub(super) jobs: Vec<StoredJob>,
    /// The progress of waves, or `None` where a row is malformed.
    pub(super) waves: LiteMap<WaveId, Option<(WaveProgress, RowVersion)>>,
    pub(super) early_cancellations: Vec<SubmissionId>,
    /// The submissions whose rows are malformed.
    pub(super) unreadable: Vec<SubmissionId>,
}

/// Reads the state stored by earlier owners. Malformed rows are logged. A job with malformed progress
/// has failed.
pub(super) async fn load(node: &Node, cell: &CellState) -> Result<LoadedState, StoreError> {
    let (submissions, _) = node.store.read_all(SUBMISSION_TABLE, &cell.part).await?;
    let (progress_rows, _) = node.store.read_all(PROGRESS_TABLE, &cell.part).await?;
    let mut progress: LiteMap<Arc<str>, (JobProgress, RowVersion)> = LiteMap::new();
    for row in progress_rows {
        let decoded = read_progress(&row);
        progress.insert(row.key.key, (decoded, row.version));
    }
    let mut jobs = Vec::with_capacity(submissions.len());
    let mut unreadable = Vec::new();
    for row in submissions {
        match read_submission(&row) {
            Some(submission) => jobs.push(StoredJob {
                progress: progress.remove(&row.key.key),
                submission,
            }),
            None => unreadable.extend(row.key.key.parse()),
        }
    }
    let waves = load_waves(node, cell).await?;
    let early_cancellations = load_early_cancellations(node, cell).await?;
    Ok(LoadedState {
        jobs,
        waves,
        early_cancellations,
        unreadable,
    })
}

/// Reads a stored submission, or returns `None` if its row does not exist or is malformed.
pub(super) async fn read_stored_job(
    node: &Node,
    cell: &CellState,
    id: &SubmissionId,
) -> Result<Option<StoredJob>, StoreError> {
    let key = id.as_str();
    let submission = node
        .store
        .read_row(SUBMISSION_TABLE, &cell.part, key)
        .await?;
    let Some(submission) = submission.as_ref().and_then(read_submission) else {
        return Ok(None);
    };
    let progress = node.store.read_row(PROGRESS_TABLE, &cell.part, key).await?;
    Ok(Some(StoredJob {
        submission,
        progress: progress.map(|row| (read_progress(&row), row.version)),
    }))
}

/// Decodes a submission, which must be the one that its row is named after.
fn read_submission(row: &StoredRow) -> Option<Submission> {
    let id = &row.key.key;
    match decode_submission(&row.value) {
        Ok(submission) if submission.id.as_str() == &**id => return Some(submission),
        Ok(other) => log::error!("event=submission_row_malformed id={id} holds={}", other.id),
        Err(error) => log::error!("event=submission_row_malformed id={id} error={error}"),
    }
    None
}

/// Decodes the progress of a job. A job whose progress is malformed may have ended, and the numbers
/// of its runs are unknown, so that it counts as failed and nothing of it starts again.
fn read_progress(row: &StoredRow) -> JobProgress {
    decode_progress(&row.value).unwrap_or_else(|error| {
        let id = &row.key.key;
        log::error!("event=progress_row_malformed id={id} error={error}");
        JobProgress {
            state: JobState::Failed,
            ..JobProgress::default()
        }
    })
}

async fn load_early_cancellations(
    node: &Node,
    cell: &CellState,
) -> Result<Vec<SubmissionId>, StoreError> {
    let (rows, _) = node.store.read_all(CANCELLATION_TABLE, &cell.part).await?;
    Ok(read_cancellations(&rows))
}

/// Returns the submissions whose cancellations are stored.
pub(super) fn read_cancellations(rows: &[StoredRow]) -> Vec<SubmissionId> {
    let mut ids = Vec::with_capacity(rows.len());
    for row in rows.iter().filter(|row| !row.is_removed) {
        match row.key.key.parse() {
            Ok(id) => ids.push(id),
            Err(error) => log::error!("event=cancellation_row_malformed error={error}"),
        }
    }
    ids
}

/// Stores a cancellation for an owner that this entry does not reach. The write needs no condition:
/// it is the same whoever repeats it.
pub(crate) async fn store_cancellation(
    node: &Node,
    cell: &CellState,
    id: &SubmissionId,
) -> Result<(), StoreError> {
    let transaction = Transaction {
        writes: vec![(cancellation_row(cell, id), encode_early_cancellation())],
        ..Transaction::default()
    };
    match node.store.commit(&transaction).await? {
        CommitOutcome::Stored(_) => Ok(()),
        CommitOutcome::Conflict(_) => Err(StoreError::NotExecuted("conflict".to_owned())),
    }
}

async fn load_waves(
    node: &Node,
    cell: &CellState,
) -> Result<LiteMap<WaveId, Option<(WaveProgress, RowVersion)>>, StoreError> {
    let (rows, _) = node.store.read_all(WAVE_TABLE, &cell.part).await?;
    let mut waves = LiteMap::new();
    for row in rows {
        let key = &row.key.key;
        let progress = decode_wave(&row.value)
            .inspect_err(|error| log::error!("event=wave_row_malformed id={key} error={error}"));
        match key.parse() {
            Ok(id) => drop(waves.insert(id, progress.ok().map(|wave| (wave, row.version)))),
            Err(error) => log::error!("event=wave_row_malformed id={key} error={error}"),
        }
    }
    Ok(waves)
}

/// Builds the transaction that stores a batch, conditioned on the ownership.
pub(super) fn transaction(owner: &Owner, batch: &Batch) -> Transaction {
    let mut transaction = owner_transaction(owner);
    let cell = owner.cell();
    for row in &batch.rows {
        if let Some(submission) = &row.submission {
            let key = submission_row(cell, &row.id);
            transaction.expected.push((key.clone(), None));
            transaction.writes.push((key, submission.clone()));
        }
        if let Some(progress) = &row.progress {
            let key = progress_row(cell, &row.id);
            transaction.expected.push((key.clone(), row.replaces));
            transaction.writes.push((key, progress.clone()));
        }
    }
    for wave in &batch.waves {
        let key = RowKey::new(WAVE_TABLE, cell.part.clone(), wave.id.as_str());
        transaction.expected.push((key.clone(), wave.replaces));
        transaction.writes.push((key, wave.progress.clone()));
    }
    for id in &batch.early_cancellations {
        let value = encode_early_cancellation();
        transaction.writes.push((cancellation_row(cell, id), value));
    }
    let expired = batch.expired_cancellations.iter();
    let removed = expired.map(|id| cancellation_row(cell, id));
    transaction.removed.extend(removed);
    transaction
}

fn cancellation_row(cell: &CellState, id: &SubmissionId) -> RowKey {
    RowKey::new(CANCELLATION_TABLE, cell.part.clone(), id.as_str())
}

fn submission_row(cell: &CellState, id: &SubmissionId) -> RowKey {
    RowKey::new(SUBMISSION_TABLE, cell.part.clone(), id.as_str())
}

fn progress_row(cell: &CellState, id: &SubmissionId) -> RowKey {
    RowKey::new(PROGRESS_TABLE, cell.part.clone(), id.as_str())
}

/// Returns the submissions that a batch stores as new and of which the store has a row.
pub(super) fn already_stored(
    cell: &CellState,
    batch: &Batch,
    rows: &[StoredRow],
) -> Vec<SubmissionId> {
    let exists = |key: &RowKey| rows.iter().any(|row| row.key == *key && !row.is_removed);
    let new = batch.rows.iter().filter(|row| row.submission.is_some());
    new.map(|row| row.id.clone())
        .filter(|id| exists(&submission_row(cell, id)) || exists(&progress_row(cell, id)))
        .collect()
}

/// Reads a submission's state from the store, for use when no owner can be reached.
pub(crate) async fn read_stored_state(
    node: &Node,
    cell: &CellState,
    id: &SubmissionId,
) -> Result<Option<SubmissionState>, StoreError> {
    let progress = node
        .store
        .read_row(PROGRESS_TABLE, &cell.part, id.as_str())
        .await?;
    if let Some(row) = progress {
        return Ok(Some(submission_state(&read_progress(&row))));
    }
    let submission = node
        .store
        .read_row(SUBMISSION_TABLE, &cell.part, id.as_str())
        .await?;
    Ok(submission.map(|_| SubmissionState::Queued))
}

/// Returns the state that a progress row shows. A placed task counts as running, because its start
/// follows the storing at once and shows in no row.
fn submission_state(progress: &JobProgress) -> SubmissionState {
    let is_placed = progress.open.iter().any(|task| task.placed.is_some());
    match progress.state {
        JobState::Completed => SubmissionState::Completed,
        JobState::Failed => SubmissionState::Failed,
        JobState::Cancelled => SubmissionState::Cancelled,
        JobState::Active if is_placed || progress.proves_start() => SubmissionState::Running,
        JobState::Active => SubmissionState::Queued,
    }
}
