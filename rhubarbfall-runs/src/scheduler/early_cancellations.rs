//! Cancellations that are stored apart from the progress of their submissions.
//!
//! A cancellation can overtake its submission, or come after the submission was withdrawn and before
//! its request arrives again, so that the owner keeps it for the submission that may follow. An entry
//! that does not reach the owner stores a cancellation itself, and the owner reads it.

use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, SubmissionId};

use super::Scheduler;
use crate::{JobProgress, JobState, encode_progress};

/// The maximum number of kept cancellations, which bounds their memory. Beyond it, cancellations of
/// unknown submissions are refused.
const MAX_KEPT: usize = 10_000;

/// The maximum number of cancellations that one batch stores, and of those that it removes, which
/// leaves most of a transaction to jobs.
const MAX_PER_BATCH: usize = 20;

/// The kept cancellations.
#[derive(Debug)]
pub(super) struct EarlyCancellations {
    /// When each cancellation was received, or loaded by this owner.
    kept: LiteMap<SubmissionId, BootTime>,
    /// The kept cancellations that are not stored yet.
    unstored: Vec<SubmissionId>,
    /// The cancellations that are no longer kept and whose rows may still exist.
    expired: Vec<SubmissionId>,
}

impl EarlyCancellations {
    pub(super) const fn new() -> Self {
        Self {
            kept: LiteMap::new(),
            unstored: Vec::new(),
            expired: Vec::new(),
        }
    }

    pub(super) fn contains(&self, id: &SubmissionId) -> bool {
        self.kept.get(id).is_some()
    }

    /// Returns whether nothing is kept.
    pub(super) fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Keeps a cancellation. Returns false if there are too many.
    pub(super) fn keep(&mut self, id: &SubmissionId, now: BootTime) -> bool {
        if let Some(kept_since) = self.kept.get_mut(id) {
            *kept_since = now;
            return true;
        }
        if self.kept.len() >= MAX_KEPT {
            log::warn!("event=early_cancellation_refused id={id} kept={MAX_KEPT}");
            return false;
        }
        log::info!("event=early_cancellation_kept id={id}");
        self.kept.insert(id.clone(), now);
        self.unstored.push(id.clone());
        self.expired.retain(|expired| expired != id);
        true
    }

    /// Keeps a cancellation that is stored already, regardless of how many there are.
    fn keep_stored(&mut self, id: SubmissionId, now: BootTime) {
        self.expired.retain(|expired| *expired != id);
        self.kept.insert(id, now);
    }

    /// Returns whether a kept cancellation is stored, or `None` if it is not kept.
    pub(super) fn is_stored(&self, id: &SubmissionId) -> Option<bool> {
        self.contains(id).then(|| !self.unstored.contains(id))
    }

    /// Drops a cancellation that cannot be stored.
    pub(super) fn forget(&mut self, id: &SubmissionId) {
        self.kept.remove(id);
        self.unstored.retain(|unstored| unstored != id);
    }

    pub(super) fn stored(&mut self, ids: &[SubmissionId]) {
        self.unstored.retain(|id| !ids.contains(id));
    }

    pub(super) fn removed(&mut self, ids: &[SubmissionId]) {
        self.expired.retain(|id| !ids.contains(id));
    }

    /// Returns the cancellations that the next batch stores.
    pub(super) fn to_store(&self) -> Vec<SubmissionId> {
        self.unstored.iter().take(MAX_PER_BATCH).cloned().collect()
    }

    /// Returns the cancellations whose rows the next batch removes.
    pub(super) fn to_remove(&self) -> Vec<SubmissionId> {
        self.expired.iter().take(MAX_PER_BATCH).cloned().collect()
    }

    /// Drops the stored cancellations that were kept for longer than `retention` and that
    /// `is_needed` does not retain.
    fn expire(
        &mut self,
        retention: Duration,
        now: BootTime,
        is_needed: impl Fn(&SubmissionId) -> bool,
    ) {
        let is_expired = |id: &SubmissionId, kept_since: BootTime| {
            now.since(kept_since) > retention && !self.unstored.contains(id) && !is_needed(id)
        };
        let expired: Vec<SubmissionId> = self
            .kept
            .iter()
            .filter(|(id, kept_since)| is_expired(id, **kept_since))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.kept.remove(&id);
            self.expired.push(id);
        }
    }
}

/// Returns the value of the row of a kept cancellation.
#[must_use]
pub fn encode_early_cancellation() -> Vec<u8> {
    encode_progress(&JobProgress {
        state: JobState::Cancelled,
        ..JobProgress::default()
    })
}

impl Scheduler {
    /// Applies cancellations that an earlier owner or another entry has stored.
    pub fn apply_stored_cancellations(
        &mut self,
        ids: impl IntoIterator<Item = SubmissionId>,
        now: BootTime,
    ) {
        for id in ids {
            if self.early_cancellations.contains(&id) {
                continue;
            }
            log::info!("event=stored_cancellation_read id={id}");
            if self.jobs.get(&id).is_some_and(|job| !job.state.is_final()) {
                self.finish(&id, JobState::Cancelled, now);
            }
            self.early_cancellations.keep_stored(id, now);
        }
    }

    /// Drops kept cancellations after their retention time. One whose submission is known is needed
    /// until the submission is stored as ended.
    pub(super) fn expire_early_cancellations(&mut self, now: BootTime) {
        let retention = self.settings.ended_retention;
        let jobs = &self.jobs;
        self.early_cancellations.expire(retention, now, |id| {
            jobs.get(id)
                .is_some_and(|job| !job.is_accepted || !job.stored_state.is_final())
        });
    }
}
