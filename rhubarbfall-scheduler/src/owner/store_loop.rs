//! Stores the scheduler's changes in batches, one batch at a time.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::{RowVersion, SubmissionId};
use rhubarbfall_runs::scheduler::Batch;
use rhubarbfall_site::{CommitOutcome, RowKey, StoreError, StoredRow, Transaction};

use super::{Owner, state_rows};
use crate::node::Node;
use crate::telemetry;

/// Pause before a transaction without an answer is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Pause between two batches, which lets changes accumulate.
const BATCH_PAUSE: Duration = Duration::from_millis(4);

/// The outcome of storing a batch.
enum BatchOutcome {
    /// The batch was stored under this version.
    Stored(RowVersion),
    /// Nothing was stored, because the store has rows of these submissions, which the batch
    /// contains as new. Rows of submissions are never removed, so that no earlier attempt of the
    /// batch can take effect any more.
    AlreadyStored(Vec<SubmissionId>),
    /// The store refuses the batch for good, so that none of its attempts takes effect.
    Refused,
    /// The ownership ended first.
    OwnershipEnded,
}

/// Stores batches until the ownership ends.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    let mut newest = owner.owner_row_version();
    while !owner.has_ended() {
        let batch = owner.scheduler.borrow_mut().next_batch();
        let Some(batch) = batch else {
            owner.wake_store.notified().await;
            continue;
        };
        let mut left = VecDeque::from([batch]);
        while let Some(mut batch) = left.pop_front() {
            if batch == Batch::default() {
                continue;
            }
            match store(&node, &owner, &batch, newest).await {
                BatchOutcome::Stored(version) => {
                    newest = version;
                    let now = node.now();
                    owner.with(|scheduler| scheduler.batch_stored(&batch, version, now));
                }
                BatchOutcome::AlreadyStored(ids) => {
                    batch.rows.retain(|row| !ids.contains(&row.id));
                    replace_by_stored(&node, &owner, &ids).await;
                    left.push_front(batch);
                }
                BatchOutcome::Refused => {
                    let mut changes = batch.into_single_changes();
                    if let [change] = &changes[..] {
                        let now = node.now();
                        owner.with(|scheduler| scheduler.change_refused(change, now));
                    } else {
                        left.extend(changes.drain(..));
                    }
                }
                BatchOutcome::OwnershipEnded => return,
            }
            owner.resolve_waiters();
        }
        owner.batch_stored.notify_waiters();
        tokio::time::sleep(BATCH_PAUSE).await;
    }
}

/// Reads submissions that the owner took for new, and passes them to the scheduler.
async fn replace_by_stored(node: &Node, owner: &Owner, ids: &[SubmissionId]) {
    for id in ids {
        while !owner.has_ended() {
            match state_rows::read_stored_job(node, &owner.cell, id).await {
                Ok(stored) => {
                    let (now, unix_ms) = (node.now(), node.unix_ms());
                    owner.with(|scheduler| scheduler.submission_found(id, stored, now, unix_ms));
                    break;
                }
                Err(error) => {
                    log::warn!("event=submission_read_failed id={id} error={error}");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Stores a batch, with as many retries as needed. Versions up to `newest` were assigned before.
async fn store(node: &Node, owner: &Owner, batch: &Batch, newest: RowVersion) -> BatchOutcome {
    let mut transaction = state_rows::transaction(owner, batch);
    let mut may_be_stored = false;
    while !owner.has_ended() {
        let sent_at = node.now();
        // The store handles the transactions of a partition one after the other, so a batch carries
        // the renewal if one is due.
        let includes_renewal = owner.is_renewal_due(sent_at);
        if includes_renewal {
            let ownership_lease = owner.request_ownership_lease();
            let renewal = owner.renewal(sent_at, ownership_lease);
            transaction.writes.push(renewal.write(&owner.cell));
        }
        owner.is_batch_in_flight.set(true);
        let timeout = owner.commit_timeout();
        let outcome = node.store.commit_within(&transaction, timeout).await;
        owner.is_batch_in_flight.set(false);
        if includes_renewal {
            transaction.writes.pop();
        }
        let took = node.now().since(sent_at);
        owner.record_round_trip(took);
        match outcome {
            Ok(CommitOutcome::Stored(version)) => {
                node.last_store_contact.set(node.now());
                if includes_renewal {
                    owner.confirm_renewal(sent_at);
                }
                telemetry::count_store_call("batch", "stored", took);
                return BatchOutcome::Stored(version);
            }
            Ok(CommitOutcome::Conflict(rows)) => {
                telemetry::count_store_call("batch", "conflict", took);
                let earlier = find_earlier_commit(&transaction, &rows);
                if let Some(version) = earlier.filter(|version| may_be_stored && *version > newest)
                {
                    return BatchOutcome::Stored(version);
                }
                let known = state_rows::already_stored(&owner.cell, batch, &rows);
                if is_owner_unchanged(&transaction, &rows) && !known.is_empty() {
                    return BatchOutcome::AlreadyStored(known);
                }
                if !owner.has_ended() {
                    log::error!("event=batch_conflict rows={}", rows.len());
                    owner.cell.drop_ownership(node, "batch_conflict");
                }
                return BatchOutcome::OwnershipEnded;
            }
            Err(error @ StoreError::Refused(_)) => {
                telemetry::count_store_call("batch", "refused", took);
                log::error!(
                    "event=batch_refused jobs={} waves={} error={error}",
                    batch.rows.len(),
                    batch.waves.len()
                );
                return BatchOutcome::Refused;
            }
            Err(error) => {
                telemetry::count_store_call("batch", "failed", took);
                log::warn!(
                    "event=batch_store_failed jobs={} error={error}",
                    batch.rows.len()
                );
                may_be_stored = true;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    BatchOutcome::OwnershipEnded
}

fn current<'a>(rows: &'a [StoredRow], key: &RowKey) -> Option<&'a StoredRow> {
    rows.iter().find(|row| row.key == *key && !row.is_removed)
}

/// Returns whether the row of a conflict that names the owner is still the expected one.
fn is_owner_unchanged(transaction: &Transaction, rows: &[StoredRow]) -> bool {
    let owner = transaction.expected.first();
    owner.is_some_and(|(key, version)| current(rows, key).map(|row| row.version) == *version)
}

/// Returns the version of an earlier attempt that was stored: the owner row is unchanged and the
/// rows that the transaction is conditioned on hold the written values, all under one version.
/// Other rows are not part of the response.
fn find_earlier_commit(transaction: &Transaction, rows: &[StoredRow]) -> Option<RowVersion> {
    if !is_owner_unchanged(transaction, rows) {
        return None;
    }
    let mut version = None;
    let is_conditional = |key: &RowKey| transaction.expected.iter().any(|(row, _)| row == key);
    let writes = transaction.writes.iter();
    for (key, value) in writes.filter(|(key, _)| is_conditional(key)) {
        let row = current(rows, key).filter(|row| row.value == *value)?;
        if version.is_some_and(|version| version != row.version) {
            return None;
        }
        version = Some(row.version);
    }
    version
}

#[cfg(test)]
mod tests;
