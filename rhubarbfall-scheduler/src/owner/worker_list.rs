//! Follows the platform's list of workers.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::WorkerId;
use rhubarbfall_site::{StoreError, StoredRow, WORKER_TABLE, decode_worker_entry};

use super::{Owner, worker_loop};
use crate::node::Node;
use crate::table_feed::{TableFeed, TableUpdate};

/// Time for which the store may hold a poll without changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Pause between two polls, so that one poll returns several changes.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Follows the worker list until the ownership ends.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    let mut feed = TableFeed::new(WORKER_TABLE, "");
    while !owner.has_ended() {
        match follow(&node, &owner, &mut feed).await {
            Ok(()) => tokio::time::sleep(POLL_PAUSE).await,
            Err(error) => {
                log::debug!("event=worker_feed_failed error={error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn follow(
    node: &Rc<Node>,
    owner: &Rc<Owner>,
    feed: &mut TableFeed,
) -> Result<(), StoreError> {
    match feed.next(&node.store, LONG_POLL_TIMEOUT).await? {
        TableUpdate::Snapshot(rows) => {
            unlist_missing_workers(owner, &rows);
            apply_rows(node, owner, &rows);
        }
        TableUpdate::Changes(rows) => apply_rows(node, owner, &rows),
        TableUpdate::HistoryLost(after) => log::debug!("event=worker_history_lost after={after}"),
    }
    Ok(())
}

fn unlist_missing_workers(owner: &Owner, rows: &[StoredRow]) {
    let scheduler = &mut owner.scheduler.borrow_mut();
    let is_missing = |id: &WorkerId| !rows.iter().any(|row| *row.key.key == *id.as_str());
    let missing: Vec<WorkerId> = scheduler
        .workers()
        .map(|worker| worker.report.id.clone())
        .filter(is_missing)
        .collect();
    for id in missing {
        scheduler.worker_unlisted(&id);
    }
}

fn apply_rows(node: &Rc<Node>, owner: &Rc<Owner>, rows: &[StoredRow]) {
    let now = node.now();
    for row in rows {
        if row.is_removed {
            if let Ok(id) = row.key.key.parse() {
                owner.with(|scheduler| scheduler.worker_unlisted(&id));
            }
            continue;
        }
        let Some(report) = decode_worker_entry(row) else {
            continue;
        };
        if owner.layout.cell_of_rack(report.rack.as_ref()) != owner.cell.id {
            continue;
        }
        let (id, address) = (report.id.clone(), report.address);
        if owner.with(|scheduler| scheduler.worker_listed(report, now)) {
            worker_loop::spawn(node, owner, id, address);
        }
    }
}
