use std::time::Duration;

use rhubarbfall_core::RowVersion;
use rhubarbfall_site::{FeedOutcome, StoreClient, StoreError, StoredRow};

/// Follows one part of a table: all of its rows first, then their changes, and all again when the
/// store has dropped its history.
#[derive(Debug)]
pub(crate) struct TableFeed {
    table: &'static str,
    part: &'static str,
    after: Option<RowVersion>,
}

/// What a call brought.
#[derive(Debug)]
pub(crate) enum TableNews {
    /// All rows there are.
    All(Vec<StoredRow>),
    /// The rows that have changed.
    Changes(Vec<StoredRow>),
    /// The history after this version is lost; the next call brings all rows.
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

    /// Lets the next call bring all rows.
    pub(crate) const fn restart(&mut self) {
        self.after = None;
    }

    /// Returns what is new, waiting up to `wait` for it.
    pub(crate) async fn next(
        &mut self,
        store: &StoreClient,
        wait: Duration,
    ) -> Result<TableNews, StoreError> {
        let Some(after) = self.after else {
            let (rows, as_of) = store.read_all(self.table, self.part).await?;
            self.after = Some(as_of);
            return Ok(TableNews::All(rows));
        };
        match store.poll_feed(self.table, after, wait).await? {
            FeedOutcome::Changes(mut rows, newest) => {
                self.after = Some(newest.max(after));
                rows.retain(|row| *row.key.part == *self.part);
                Ok(TableNews::Changes(rows))
            }
            FeedOutcome::HistoryLost => {
                self.restart();
                Ok(TableNews::HistoryLost(after))
            }
        }
    }
}
