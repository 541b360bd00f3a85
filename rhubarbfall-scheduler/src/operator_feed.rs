//! Polls the operator table for new configurations, maintenance waves and evacuated zones.
//!
//! A maintenance wave is a request to maintain a set of VMs, with a limited number of them down at
//! the same time. Nothing starts in an evacuated availability zone; owners also need to know how
//! recent their view of these requests is.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rhubarbfall_core::{AvailabilityZoneId, BootTime};
use rhubarbfall_site::{OPERATOR_TABLE, OperatorRow, StoreError, StoredRow, decode_operator_row};

use crate::node::Node;
use crate::table_feed::{TableFeed, TableUpdate};

/// How long the store may hold a poll without changes. A poll on a dead connection times out
/// shortly afterwards, well within the time limit for applying a new configuration.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the store may hold the poll after one without an answer, so that a view of the operators'
/// requests that has become old is replaced soon.
const RETRY_POLL_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Polls the operator table until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut feed = TableFeed::new(OPERATOR_TABLE, "");
    let mut wait = LONG_POLL_TIMEOUT;
    loop {
        match follow(&node, &mut feed, wait).await {
            Ok(()) => wait = LONG_POLL_TIMEOUT,
            Err(error) => {
                log::debug!("event=operator_feed_failed error={error}");
                wait = RETRY_POLL_TIMEOUT;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn follow(node: &Node, feed: &mut TableFeed, wait: Duration) -> Result<(), StoreError> {
    // The answer has what was stored when the poll was sent, and possibly more.
    let sent_at = node.now();
    match feed.next(&node.store, wait).await? {
        TableUpdate::Snapshot(rows) => {
            let zones = rows.iter().filter_map(evacuated_zone).collect();
            node.set_evacuated_zones(zones);
            accept(node, &rows, sent_at);
        }
        TableUpdate::Changes(rows) => accept(node, &rows, sent_at),
        TableUpdate::HistoryLost(after) => {
            log::warn!("event=operator_history_lost after={after}");
        }
    }
    Ok(())
}

/// Returns the zone of a row that requests an evacuation.
fn evacuated_zone(row: &StoredRow) -> Option<AvailabilityZoneId> {
    match decode_operator_row(row) {
        Some(OperatorRow::Evacuation {
            zone,
            is_requested: true,
        }) => Some(zone),
        _ => None,
    }
}

fn accept(node: &Node, rows: &[StoredRow], sent_at: BootTime) {
    node.last_store_contact.set(node.now());
    node.config_polled_at.set(node.now());
    apply_rows(node, rows);
    node.confirm_operator_view(sent_at);
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
            Some(OperatorRow::Evacuation { zone, is_requested }) => {
                node.set_evacuated(zone, is_requested);
            }
            None => {}
        }
    }
}
