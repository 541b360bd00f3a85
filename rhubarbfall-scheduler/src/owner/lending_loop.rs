//! Shares of the limits that cells have together: this cell's reports, the shares that it follows,
//! and the transfers of shares while it is the lender.

use std::rc::Rc;
use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{CellId, RowVersion};
use rhubarbfall_runs::lending::{CellReport, CompletedWave, Grants, lend};
use rhubarbfall_site::{CommitOutcome, RowKey, StoreError, StoredRow, Transaction};

use super::Owner;
use crate::cell_state::CellState;
use crate::node::Node;
use crate::ownership::owner_transaction;
use crate::table_feed::{TableFeed, TableUpdate};
use crate::telemetry;

/// Table of grants and reports.
const SHARE_TABLE: &str = "share";

/// Key of the grants, in the first cell's partition.
const GRANTS_KEY: &str = "grants";

/// Key of a cell's report, in its own partition.
const REPORT_KEY: &str = "report";

/// Time for which the store may hold a poll without changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two polls, so that one poll returns several reports.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Interval of reports and transfers: a share moves within four of them, and a lasting task of a
/// customer with room under its limit must run again within three seconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// What an owner knows of the shares.
#[derive(Debug, Default)]
pub(super) struct Lending {
    grants: Grants,
    grants_row: RowState,
    report: CellReport,
    report_row: RowState,
    /// The newest report of each cell that has been read.
    reports: LiteMap<CellId, CellReport>,
}

/// Version of a row that only the owner writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum RowState {
    /// The row has to be read: a write of it had no answer.
    #[default]
    Unknown,
    /// The row has this version, or does not exist.
    Known(Option<RowVersion>),
}

/// Reads the grants before anything starts, so that this owner follows what its predecessor followed.
pub(super) async fn load(node: &Node, owner: &Owner) -> Result<(), StoreError> {
    if owner.layout.is_single() {
        return Ok(());
    }
    let Some(first) = node.cell(CellId::FIRST) else {
        return Ok(());
    };
    if let Some(row) = node
        .store
        .read_row(SHARE_TABLE, &first.part, GRANTS_KEY)
        .await?
    {
        apply_row(owner, &row);
    }
    Ok(())
}

/// Follows the rows of all cells until the ownership ends.
pub(super) async fn follow(node: Rc<Node>, owner: Rc<Owner>) {
    let parts = node.cells().iter().map(|cell| cell.part.clone()).collect();
    let mut feed = TableFeed::of_parts(SHARE_TABLE, parts);
    while !owner.has_ended() {
        match feed.next(&node.store, LONG_POLL_TIMEOUT).await {
            Ok(TableUpdate::Snapshot(rows) | TableUpdate::Changes(rows)) => {
                for row in &rows {
                    apply_row(&owner, row);
                }
                let completed = completed_elsewhere(&owner);
                owner.with(|scheduler| scheduler.waves_completed_elsewhere(completed));
            }
            Ok(TableUpdate::HistoryLost(after)) => {
                log::debug!("event=share_history_lost after={after}");
            }
            Err(error) => log::debug!("event=share_feed_failed error={error}"),
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

fn apply_row(owner: &Owner, row: &StoredRow) {
    let cell: Option<CellId> = row.key.part.parse().ok();
    match (&*row.key.key, cell) {
        (GRANTS_KEY, Some(CellId::FIRST)) => match Grants::decode(&row.value) {
            Ok(grants) => follow_grants(owner, grants),
            Err(error) => log::error!("event=grants_row_malformed error={error}"),
        },
        (REPORT_KEY, Some(cell)) => match CellReport::decode(&row.value) {
            Ok(report) => drop(owner.lending.borrow_mut().reports.insert(cell, report)),
            Err(error) => log::error!("event=report_row_malformed cell={cell} error={error}"),
        },
        _ => {}
    }
}

fn follow_grants(owner: &Owner, grants: Grants) {
    {
        let mut lending = owner.lending.borrow_mut();
        if grants.revision <= lending.grants.revision {
            return;
        }
        lending.grants = grants.clone();
    }
    owner.with(|scheduler| scheduler.follow_grants(grants));
}

/// Returns the waves that every other cell has reported as completed.
fn completed_elsewhere(owner: &Owner) -> Vec<CompletedWave> {
    let lending = owner.lending.borrow();
    let others = || owner.layout.cells().filter(|cell| *cell != owner.cell.id);
    let Some(first) = others().next().and_then(|cell| lending.reports.get(&cell)) else {
        return Vec::new();
    };
    let is_completed_in = |cell: CellId, wave: &CompletedWave| {
        let report = lending.reports.get(&cell);
        report.is_some_and(|report| report.completed_waves.contains(wave))
    };
    let waves = first.completed_waves.iter();
    waves
        .filter(|wave| others().all(|cell| is_completed_in(cell, wave)))
        .cloned()
        .collect()
}

/// Reports what the cell uses, and moves shares while it is the lender, until the ownership ends.
pub(super) async fn report(node: Rc<Node>, owner: Rc<Owner>) {
    while !owner.has_ended() {
        if owner.is_active(node.now()) {
            store_report(&node, &owner).await;
            if owner.cell.id == CellId::FIRST {
                transfer_shares(&node, &owner).await;
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

async fn store_report(node: &Node, owner: &Owner) {
    let report = owner.scheduler.borrow().cell_report();
    let (row, is_stored) = {
        let lending = owner.lending.borrow();
        (lending.report_row, lending.report == report)
    };
    if is_stored && row != RowState::Unknown {
        return;
    }
    let row = store_row(node, owner, row, REPORT_KEY, report.encode()).await;
    let mut lending = owner.lending.borrow_mut();
    lending.report_row = row;
    if row != RowState::Unknown {
        lending.report = report;
    }
}

async fn transfer_shares(node: &Node, owner: &Owner) {
    if owner.lending.borrow().grants_row == RowState::Unknown && !read_grants(node, owner).await {
        return;
    }
    let limits = owner.scheduler.borrow().shared_limits();
    let (next, row) = {
        let lending = owner.lending.borrow();
        let cells = owner.layout.count();
        let next = lend(&lending.grants, &limits, &lending.reports, cells);
        (next, lending.grants_row)
    };
    let Some(next) = next else {
        return;
    };
    let value = next.encode();
    if value.len() > node.settings.scheduler().max_row_bytes {
        log::warn!(
            "event=grants_too_large accounts={} bytes={}",
            next.accounts.len(),
            value.len()
        );
        return;
    }
    let row = store_row(node, owner, row, GRANTS_KEY, value).await;
    owner.lending.borrow_mut().grants_row = row;
    if row != RowState::Unknown {
        log::info!(
            "event=shares_moved revision={} accounts={}",
            next.revision,
            next.accounts.len()
        );
        follow_grants(owner, next);
    }
}

/// Reads the grants anew, since a write of them had no answer, and returns whether they are known.
async fn read_grants(node: &Node, owner: &Owner) -> bool {
    match read_version(node, &owner.cell, GRANTS_KEY).await {
        Ok((version, row)) => {
            if let Some(row) = row {
                apply_row(owner, &row);
            }
            owner.lending.borrow_mut().grants_row = RowState::Known(version);
            true
        }
        Err(error) => {
            log::debug!("event=grants_unreadable error={error}");
            false
        }
    }
}

async fn read_version(
    node: &Node,
    cell: &CellState,
    key: &str,
) -> Result<(Option<RowVersion>, Option<StoredRow>), StoreError> {
    let row = node.store.read_row(SHARE_TABLE, &cell.part, key).await?;
    Ok((row.as_ref().map(|row| row.version), row))
}

/// Stores a row that only the owner of the cell writes, in place of its known version, and returns
/// the version then.
async fn store_row(
    node: &Node,
    owner: &Owner,
    state: RowState,
    key: &str,
    value: Vec<u8>,
) -> RowState {
    let version = match state {
        RowState::Known(version) => version,
        RowState::Unknown => match read_version(node, &owner.cell, key).await {
            Ok((version, _)) => version,
            Err(error) => {
                log::debug!("event=share_row_unreadable key={key} error={error}");
                return RowState::Unknown;
            }
        },
    };
    let row_key = RowKey::new(SHARE_TABLE, owner.cell.part.clone(), key);
    let mut transaction: Transaction = owner_transaction(owner);
    transaction.expected.push((row_key.clone(), version));
    transaction.writes.push((row_key, value));
    let sent_at = node.now();
    let outcome = node
        .store
        .commit_within(&transaction, owner.commit_timeout())
        .await;
    let took = node.now().since(sent_at);
    match outcome {
        Ok(CommitOutcome::Stored(version)) => {
            telemetry::count_store_call("share", "stored", took);
            RowState::Known(Some(version))
        }
        Ok(CommitOutcome::Conflict(_)) => {
            telemetry::count_store_call("share", "conflict", took);
            RowState::Unknown
        }
        Err(error) => {
            telemetry::count_store_call("share", "failed", took);
            log::warn!("event=share_store_failed key={key} error={error}");
            RowState::Unknown
        }
    }
}
