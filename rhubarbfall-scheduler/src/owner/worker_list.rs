//! Follows the platform's list of workers.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::WorkerId;
use rhubarbfall_site::{StoreError, StoredRow, WORKER_TABLE, decode_worker_entry};

use super::{Owner, worker_loop};
use crate::node::Node;
use crate::table_feed::{TableFeed, TableNews};

/// How long the store may hold a call for changes.
const WAIT: Duration = Duration::from_secs(1);

/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The pause between two calls, so that changes come together.
const PAUSE: Duration = Duration::from_millis(100);

/// Follows the list until the ownership ends.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    let mut feed = TableFeed::new(WORKER_TABLE, "");
    while !owner.has_ended() {
        match follow(&node, &owner, &mut feed).await {
            Ok(()) => tokio::time::sleep(PAUSE).await,
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
    match feed.next(&node.store, WAIT).await? {
        TableNews::All(rows) => {
            unlist_missing(owner, &rows);
            take(node, owner, &rows);
        }
        TableNews::Changes(rows) => take(node, owner, &rows),
        TableNews::HistoryLost(after) => log::debug!("event=worker_history_lost after={after}"),
    }
    Ok(())
}

fn unlist_missing(owner: &Owner, rows: &[StoredRow]) {
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

fn take(node: &Rc<Node>, owner: &Rc<Owner>, rows: &[StoredRow]) {
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
        let (id, address) = (report.id.clone(), report.address);
        if owner.with(|scheduler| scheduler.worker_listed(report, now)) {
            worker_loop::spawn(node, owner, id, address);
        }
    }
}
