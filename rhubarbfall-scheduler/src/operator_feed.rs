//! Follows what operators write.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rhubarbfall_site::{OPERATOR_TABLE, OperatorRow, StoreError, StoredRow, decode_operator_row};

use crate::node::Node;
use crate::table_feed::{TableFeed, TableNews};

/// How long the store may hold a call: a silent connection is noticed well within the bound for a
/// new configuration.
const WAIT: Duration = Duration::from_secs(1);

/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the operators' table for the life of the process.
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
    match feed.next(&node.store, WAIT).await? {
        TableNews::All(rows) | TableNews::Changes(rows) => {
            node.store_heard_at.set(node.now());
            take(node, &rows);
        }
        TableNews::HistoryLost(after) => {
            log::warn!("event=operator_history_lost after={after}");
        }
    }
    Ok(())
}

fn take(node: &Node, rows: &[StoredRow]) {
    for row in rows {
        match decode_operator_row(row) {
            Some(OperatorRow::Config(config)) => {
                node.accept_config(config, Bytes::copy_from_slice(&row.value), "store");
            }
            Some(OperatorRow::Wave(wave)) => {
                if let Some(owner) = &*node.owner.borrow() {
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
