//! Change feed of partitions of a table.

use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::RowVersion;
use rhubarbfall_site::{FEED_ANSWER_TIME, FeedOutcome, StoreClient, StoreError, StoredRow};

/// Follows partitions of a table: a snapshot first, then changes, and a new snapshot when the store no
/// longer has the change history.
#[derive(Debug)]
pub(crate) struct TableFeed {
    table: &'static str,
    parts: Vec<Arc<str>>,
    after: Option<RowVersion>,
}

/// Result of one poll of a [`TableFeed`].
#[derive(Debug)]
pub(crate) enum TableUpdate {
    /// All current rows.
    Snapshot(Vec<StoredRow>),
    /// Rows that have changed since the last poll.
    Changes(Vec<StoredRow>),
    /// The store no longer has the changes after this version; the next poll returns a snapshot.
    HistoryLost(RowVersion),
}

impl TableFeed {
    /// Follows one partition.
    pub(crate) fn new(table: &'static str, part: impl Into<Arc<str>>) -> Self {
        Self::of_parts(table, vec![part.into()])
    }

    /// Follows several partitions.
    pub(crate) const fn of_parts(table: &'static str, parts: Vec<Arc<str>>) -> Self {
        Self {
            table,
            parts,
            after: None,
        }
    }

    /// Returns the number of partitions that are followed.
    pub(crate) const fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Makes the next poll return a snapshot.
    pub(crate) const fn restart(&mut self) {
        self.after = None;
    }

    /// Polls the store, which may hold the call for up to `wait` until there are changes.
    pub(crate) async fn next(
        &mut self,
        store: &StoreClient,
        wait: Duration,
    ) -> Result<TableUpdate, StoreError> {
        self.next_within(store, wait, FEED_ANSWER_TIME).await
    }

    /// Polls the store as [`Self::next`] does, with a time limit for the answer beyond `wait`.
    pub(crate) async fn next_within(
        &mut self,
        store: &StoreClient,
        wait: Duration,
        answer_time: Duration,
    ) -> Result<TableUpdate, StoreError> {
        let Some(after) = self.after else {
            let (mut all_rows, mut first_as_of) = (Vec::new(), None);
            for part in &self.parts {
                let (rows, as_of) = store.read_all(self.table, part).await?;
                // Changes since the first read are repeated by the feed.
                first_as_of.get_or_insert(as_of);
                all_rows.extend(rows);
            }
            self.after = first_as_of;
            return Ok(TableUpdate::Snapshot(all_rows));
        };
        let polled = store.poll_feed(self.table, after, wait, answer_time);
        match polled.await? {
            FeedOutcome::Changes(mut rows, newest) => {
                self.after = Some(newest.max(after));
                rows.retain(|row| self.parts.contains(&row.key.part));
                Ok(TableUpdate::Changes(rows))
            }
            FeedOutcome::HistoryLost => {
                self.restart();
                Ok(TableUpdate::HistoryLost(after))
            }
        }
    }
}
