//! Polls the operator table for new configurations, maintenance waves and evacuated zones.
//!
//! A maintenance wave is a request to maintain a set of VMs, with a limited number of them down at
//! the same time. Nothing starts in an evacuated availability zone; owners also need to know how
//! recent their view of these requests is.

mod pace;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rhubarbfall_core::{AvailabilityZoneId, BootTime};
use rhubarbfall_site::{OPERATOR_TABLE, OperatorRow, StoreError, StoredRow, decode_operator_row};

use self::pace::PollPace;
use crate::node::Node;
use crate::table_feed::{TableFeed, TableUpdate};

/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Polls the operator table until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut feed = TableFeed::new(OPERATOR_TABLE, "");
    // Without a bound, the age of the view does not matter.
    let adapts = node.settings.evacuation_bound_ms.is_some();
    let mut pace = PollPace::default();
    loop {
        let sent_at = node.now();
        let followed = follow(&node, &mut feed, pace).await;
        let adapted = match &followed {
            Ok(()) => pace.after_answer(node.now().since(sent_at)),
            Err(_) => pace.after_failure(),
        };
        if adapts {
            pace = adapted;
        }
        if let Err(error) = followed {
            log::debug!("event=operator_feed_failed error={error}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn follow(node: &Node, feed: &mut TableFeed, pace: PollPace) -> Result<(), StoreError> {
    // The answer has what was stored when the poll was sent, and possibly more.
    let sent_at = node.now();
    let update = feed.next_within(&node.store, pace.wait, pace.answer_time);
    match update.await? {
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
                let mut waves = node.waves.borrow_mut();
                let known = waves.get(&wave.id).map(|known| known.version);
                if known.is_none_or(|known| known < wave.version) {
                    waves.insert(wave.id.clone(), wave);
                }
            }
            Some(OperatorRow::Evacuation { zone, is_requested }) => {
                node.set_evacuated(zone, is_requested);
            }
            None => {}
        }
    }
}
