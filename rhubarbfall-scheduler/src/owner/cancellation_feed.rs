//! Follows the cancellations that entries have stored because they did not reach the owner.

use std::rc::Rc;
use std::time::Duration;

use super::{Owner, state_rows};
use crate::node::Node;
use crate::table_feed::{TableFeed, TableUpdate};

/// Time for which the store may hold a poll without changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two polls, so that one poll returns several cancellations.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Follows the table of cancellations until the ownership ends. The first poll returns all of them,
/// also those stored since this owner has loaded its state.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    let mut feed = TableFeed::new(state_rows::CANCELLATION_TABLE, owner.cell.part.clone());
    while !owner.has_ended() {
        match feed.next(&node.store, LONG_POLL_TIMEOUT).await {
            Ok(TableUpdate::Snapshot(rows) | TableUpdate::Changes(rows)) => {
                let (ids, now) = (state_rows::read_cancellations(&rows), node.now());
                if !ids.is_empty() {
                    owner.with(|scheduler| scheduler.apply_stored_cancellations(ids, now));
                }
            }
            Ok(TableUpdate::HistoryLost(after)) => {
                log::debug!("event=cancellation_history_lost after={after}");
            }
            Err(error) => log::debug!("event=cancellation_feed_failed error={error}"),
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}
