//! Polls the operator table for new configurations and maintenance waves.
//!
//! A maintenance wave is a request to maintain a set of VMs, with a limited number of them down at
//! the same time.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rhubarbfall_site::{OPERATOR_TABLE, OperatorRow, StoreError, StoredRow, decode_operator_row};

use crate::node::Node;
use crate::table_feed::{TableFeed, TableUpdate};

/// How long the store may hold a poll without changes. A poll on a dead connection times out
/// shortly afterwards, well within the time limit for applying a new configuration.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Polls the operator table until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut feed = TableFeed::new(OPERATOR_TABLE, "");
    loop {
        if let Err(error) = follow(&node, &mut feed).await {
            log::debug!("event=operator_feed_failed error={error}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn follow(node: &Node, feed: &mut TableFeed) -> Result<(), StoreError> {
    match feed.next(&node.store, LONG_POLL_TIMEOUT).await? {
        TableUpdate::Snapshot(rows) | TableUpdate::Changes(rows) => {
            node.last_store_contact.set(node.now());
            node.config_polled_at.set(node.now());
            apply_rows(node, &rows);
        }
        TableUpdate::HistoryLost(after) => {
            log::warn!("event=operator_history_lost after={after}");
        }
    }
    Ok(())
}

fn apply_rows(node: &Node, rows: &[StoredRow]) {
    for row in rows {
        match decode_operator_row(row) {
            Some(OperatorRow::Config(config)) => {
                node.accept_config(config, Bytes::copy_from_slice(&row.value), "store");
            }
            Some(OperatorRow::Wave(wave)) => {
                for owner in node.owners() {
                    let (now, unix_ms) = (node.now(), node.unix_ms());
                    owner.with(|scheduler| {
                        scheduler.wave_requested(wave.clone(), None, now, unix_ms);
                    });
                }
                node.waves.borrow_mut().insert(wave.id.clone(), wave);
            }
            None => {}
        }
    }
}
