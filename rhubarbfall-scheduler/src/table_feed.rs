//! Change feed of one partition of a table.

use std::time::Duration;

use rhubarbfall_core::RowVersion;
use rhubarbfall_site::{FeedOutcome, StoreClient, StoreError, StoredRow};

/// Follows one partition of a table: a snapshot first, then changes, and a new snapshot when the
/// store no longer has the change history.
#[derive(Debug)]
pub(crate) struct TableFeed {
    table: &'static str,
    part: &'static str,
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
    pub(crate) const fn new(table: &'static str, part: &'static str) -> Self {
        Self {
            table,
            part,
            after: None,
        }
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
        let Some(after) = self.after else {
            let (rows, as_of) = store.read_all(self.table, self.part).await?;
            self.after = Some(as_of);
            return Ok(TableUpdate::Snapshot(rows));
        };
        match store.poll_feed(self.table, after, wait).await? {
            FeedOutcome::Changes(mut rows, newest) => {
                self.after = Some(newest.max(after));
                rows.retain(|row| *row.key.part == *self.part);
                Ok(TableUpdate::Changes(rows))
            }
            FeedOutcome::HistoryLost => {
                self.restart();
                Ok(TableUpdate::HistoryLost(after))
            }
        }
    }
}
