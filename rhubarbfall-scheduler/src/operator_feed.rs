//! Follows what operators write.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rhubarbfall_core::RowVersion;
use rhubarbfall_site::{
    Feed, OPERATOR_TABLE, OperatorRow, StoreError, StoredRow, read_operator_row,
};

use crate::node::Node;

/// How long the store may hold a call: a silent connection is noticed well within the bound for a
/// new configuration.
const WAIT: Duration = Duration::from_secs(1);

/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the operators' table for the life of the process.
pub(crate) async fn run(node: Rc<Node>) {
    let mut version = None;
    loop {
        if let Err(error) = follow(&node, &mut version).await {
            log::debug!("event=operator_feed_failed error={error}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn follow(node: &Node, version: &mut Option<RowVersion>) -> Result<(), StoreError> {
    let Some(after) = *version else {
        let (rows, as_of) = node.store.read_all(OPERATOR_TABLE, "").await?;
        node.store_heard_at.set(node.now());
        take(node, &rows);
        *version = Some(as_of);
        return Ok(());
    };
    match node.store.feed(OPERATOR_TABLE, after, WAIT).await? {
        Feed::Changes(rows, newest) => {
            node.store_heard_at.set(node.now());
            take(node, &rows);
            *version = Some(newest.max(after));
        }
        Feed::HistoryLost => {
            log::warn!("event=operator_history_lost after={after}");
            *version = None;
        }
    }
    Ok(())
}

fn take(node: &Node, rows: &[StoredRow]) {
    for row in rows {
        match read_operator_row(row) {
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
