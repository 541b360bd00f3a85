//! Ownership rows as this entry sees them, and the cells that it may take over by them.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use rhubarbfall_core::{BootTime, FencingNumber, RowVersion};
use rhubarbfall_runs::CellLayout;
use rhubarbfall_site::{StoreError, StoredRow};

use super::MIN_OWNERSHIP_LEASE;
use super::rows::{CELL_TABLE, OWNER_KEY, OwnerRow, RENEWAL_KEY, RenewalRow, is_layout_row};
use crate::cell_state::CellState;
use crate::node::Node;
use crate::peer_status::HolderMessage;
use crate::table_feed::{TableFeed, TableUpdate};

/// Longest time for which the store may hold a poll without changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time for which the store is asked to hold a poll.
const MIN_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which the store must have answered without a failure before missing renewals count
/// against the owner, which may have lost the store as well.
const STORE_STABLE_AFTER: Duration = Duration::from_millis(700);

/// Ownership rows of a cell as last seen by this entry.
#[derive(Debug)]
pub(super) struct OwnershipWatch {
    pub(super) owner_row_version: Option<RowVersion>,
    pub(super) renewal_row_version: Option<RowVersion>,
    /// Duration of the ownership lease in the latest renewal.
    pub(super) ownership_lease: Duration,
    /// Set if the last owner released its ownership: the remaining time of leases granted by the
    /// owners before it.
    pub(super) inherited_at_release: Option<Duration>,
    /// What the latest renewal states of orders for VMs on their way when it was written.
    pub(super) vm_orders_on_the_way: Option<Duration>,
    /// What the latest renewal states of leases of the owners before its writer.
    pub(super) inherited_leases: Option<Duration>,
    /// What the latest renewal states of leases of owners of earlier versions; `None` if its writer is
    /// one.
    pub(super) earlier_version_leases: Option<Duration>,
    /// Time when a change of either row was last seen.
    pub(super) last_change_at: BootTime,
    /// Whether this entry owned the cell when it was last looked at.
    was_owned: bool,
}

impl OwnershipWatch {
    /// Creates a watch that has not seen any row.
    const fn new(now: BootTime) -> Self {
        Self {
            owner_row_version: None,
            renewal_row_version: None,
            ownership_lease: Duration::ZERO,
            inherited_at_release: None,
            vm_orders_on_the_way: None,
            inherited_leases: None,
            earlier_version_leases: None,
            last_change_at: now,
            was_owned: false,
        }
    }

    /// Returns how long the owner may renew no more before others take over.
    pub(super) fn lease(&self) -> Duration {
        self.ownership_lease.max(MIN_OWNERSHIP_LEASE)
    }
}

/// The ownership rows of all cells as seen by this entry.
#[derive(Debug)]
pub(super) struct OwnershipFeed {
    pub(super) feed: TableFeed,
    /// The watch of each cell, by number.
    pub(super) watches: Vec<OwnershipWatch>,
    /// Time since which the store has answered without a failure.
    pub(super) store_available_since: Option<BootTime>,
}

impl OwnershipFeed {
    pub(super) fn new(node: &Node) -> Self {
        let mut feed = Self {
            feed: TableFeed::new(CELL_TABLE, ""),
            watches: Vec::new(),
            store_available_since: None,
        };
        feed.include_cells(node);
        feed
    }

    /// Follows the rows of all cells that are known.
    pub(super) fn include_cells(&mut self, node: &Node) {
        let cells = node.cells();
        if self.feed.part_count() == cells.len() && self.watches.len() == cells.len() {
            return;
        }
        let parts = cells.iter().map(|cell| cell.part.clone());
        self.feed = TableFeed::of_parts(CELL_TABLE, parts.collect());
        let now = node.now();
        self.watches
            .resize_with(cells.len(), || OwnershipWatch::new(now));
    }

    /// Starts anew with cells whose ownership by this entry has ended: its own writes have changed
    /// the rows.
    pub(super) fn forget_ended_ownerships(&mut self, node: &Node) {
        for (watch, cell) in self.watches.iter_mut().zip(node.cells()) {
            if cell.is_owned() {
                watch.was_owned = true;
            } else if watch.was_owned {
                *watch = OwnershipWatch::new(node.now());
                self.feed.restart();
            }
        }
    }

    /// Returns the time for which the store may hold a poll, so that the end of an ownership lease
    /// is noticed soon.
    fn long_poll_timeout(&self, now: BootTime) -> Duration {
        let others = self.watches.iter().filter(|watch| !watch.was_owned);
        let left = others.map(|watch| {
            watch
                .lease()
                .saturating_sub(now.since(watch.last_change_at))
        });
        let left = left.min().unwrap_or(LONG_POLL_TIMEOUT);
        left.clamp(MIN_LONG_POLL_TIMEOUT, LONG_POLL_TIMEOUT)
    }

    /// Returns a cell that this entry may take over, its preferred one first. That is one that it
    /// held before, since others may not take it yet; otherwise entries prefer different cells, so that
    /// several free ones are not all claimed by the same entries.
    pub(super) fn next_takeover(&self, node: &Node) -> Option<Rc<CellState>> {
        let now = node.now();
        let store_available_since = self.store_available_since?;
        let is_free = |cell: &Rc<CellState>| {
            let known_owner = cell.known_owner.borrow();
            let Some(holder) = &known_owner.holder else {
                return true;
            };
            let watch = &self.watches[usize::from(cell.id.number())];
            let is_silent = now.since(watch.last_change_at) > watch.lease()
                && now.since(store_available_since) > STORE_STABLE_AFTER;
            holder.entry == node.settings.entry || is_silent
        };
        let was_held_here = |cell: &CellState| {
            let known_owner = cell.known_owner.borrow();
            let holder = known_owner.holder.as_ref();
            holder.is_some_and(|holder| holder.entry == node.settings.entry)
        };
        let candidates = node.cells().into_iter().filter(|cell| !cell.is_owned());
        candidates.filter(is_free).min_by_key(|cell| {
            let mut hasher = DefaultHasher::new();
            (node.settings.entry.as_str(), cell.id).hash(&mut hasher);
            (!was_held_here(cell), hasher.finish())
        })
    }
}

pub(super) async fn follow(node: &Node, ownerships: &mut OwnershipFeed) -> Result<(), StoreError> {
    let long_poll_timeout = ownerships.long_poll_timeout(node.now());
    match ownerships.feed.next(&node.store, long_poll_timeout).await? {
        TableUpdate::Snapshot(rows) => {
            if node.layout().is_none() && !rows.iter().any(is_layout_row) {
                node.set_layout(CellLayout::single());
            }
            apply_rows(node, ownerships, &rows);
        }
        TableUpdate::Changes(rows) => apply_rows(node, ownerships, &rows),
        TableUpdate::HistoryLost(after) => log::debug!("event=cell_history_lost after={after}"),
    }
    Ok(())
}

fn apply_rows(node: &Node, ownerships: &mut OwnershipFeed, rows: &[StoredRow]) {
    for row in rows {
        if is_layout_row(row) {
            match CellLayout::decode(&row.value) {
                Ok(layout) => node.set_layout(layout),
                Err(error) => log::error!("event=layout_row_malformed error={error}"),
            }
            continue;
        }
        let cell = row.key.part.parse().ok().and_then(|id| node.cell(id));
        let Some(cell) = cell else {
            continue;
        };
        if let Some(watch) = ownerships.watches.get_mut(usize::from(cell.id.number())) {
            apply_row(node, &cell, watch, row);
        }
    }
}

fn apply_row(node: &Node, cell: &CellState, watch: &mut OwnershipWatch, row: &StoredRow) {
    let seen = match &*row.key.key {
        OWNER_KEY => &mut watch.owner_row_version,
        RENEWAL_KEY => &mut watch.renewal_row_version,
        _ => return,
    };
    if seen.is_some_and(|seen| seen >= row.version) {
        return;
    }
    *seen = Some(row.version);
    watch.last_change_at = node.now();
    if &*row.key.key == RENEWAL_KEY {
        match RenewalRow::decode(&*row.value) {
            Ok(renewal) => {
                watch.ownership_lease = Duration::from_millis(renewal.lease_ms);
                watch.vm_orders_on_the_way =
                    renewal.vm_orders_on_the_way_ms.map(Duration::from_millis);
                watch.inherited_leases = renewal.inherited_leases_ms.map(Duration::from_millis);
                watch.earlier_version_leases =
                    renewal.earlier_version_leases_ms.map(Duration::from_millis);
            }
            Err(error) => log::error!("event=renewal_row_malformed error={error}"),
        }
    }
    if &*row.key.key == OWNER_KEY {
        match OwnerRow::decode(&*row.value) {
            Ok(owner) => {
                let inherited = Duration::from_millis(owner.inherited_lease_ms);
                watch.inherited_at_release = owner.holder.is_none().then_some(inherited);
                let holder = owner.holder.as_ref().and_then(HolderMessage::to_holder);
                cell.update_known_owner(node, FencingNumber::new(owner.fencing_number), holder);
            }
            Err(error) => log::error!("event=owner_row_malformed error={error}"),
        }
    }
}
