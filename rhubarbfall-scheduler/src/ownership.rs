//! Ownership of cells: election, renewal, takeover and release.
//!
//! The store holds two rows for each cell: the owner row, which only a conditional write changes, and
//! the renewal row, which the owner updates to extend its ownership lease. The first cell's partition
//! also holds the layout of a divided fleet.

mod rows;
mod watch;

use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use rand::RngExt;
use rhubarbfall_core::{BootTime, FencingNumber};
use rhubarbfall_runs::CellLayout;
use rhubarbfall_site::{CommitOutcome, RowKey, Transaction};
use tokio::task::JoinSet;

use crate::cell_state::{CellState, Holder, KnownOwner};
use crate::node::Node;
use crate::owner::{self, Inheritance, Owner};
use crate::peer_status::HolderMessage;
use crate::predecessor::{self, Stated};
use crate::processor_time::Activity;
use crate::supervision::spawn_owner_loop;
use crate::telemetry;
use crate::vm_orders_on_the_way::{PredecessorEnd, inherited_order_time};
use rows::{LAYOUT_KEY, OWNER_KEY, OwnerRow, RENEWAL_KEY, RenewalRow, cell_row};
use watch::{OwnershipFeed, OwnershipWatch};

/// Time after which the owner renews: several renewals fit into one ownership lease.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(230);

/// Shortest ownership lease. Other entries take over when they see no renewal for this long while
/// the store answers. It tolerates two lost renewals and is short compared with callers' time
/// limits.
pub(crate) const MIN_OWNERSHIP_LEASE: Duration = Duration::from_millis(950);

/// Longest ownership lease, used when the store is slow.
pub(crate) const MAX_OWNERSHIP_LEASE: Duration = Duration::from_secs(3);

/// Number of store round trips that an ownership lease lasts at least.
pub(crate) const OWNERSHIP_LEASE_ROUND_TRIPS: u32 = 4;

/// Interval at which the owner checks whether a renewal is due.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Pause before a starting entry checks again whether it has read its configuration.
const CONFIG_POLL_PAUSE: Duration = Duration::from_millis(40);

/// Upper bound of the random delay before a takeover, which keeps entries from writing at once.
const MAX_TAKEOVER_JITTER_MS: u64 = 60;

/// Takeover delay of an entry with one full core. An entry with a tenth of a core waits ten times
/// as long, which is still a fraction of the duration of a takeover.
const FULL_CORE_TAKEOVER_DELAY: Duration = Duration::from_millis(30);

/// Delay of a takeover for each cell that the entry owns already, so that cells are spread over
/// entries: longer than an entry with half a core needs to see that a cell is free and to take it.
const OWNED_CELL_DELAY: Duration = Duration::from_millis(400);

/// Longest delay for cells that the entry owns already: the last entries of a fleet take all of them.
const MAX_OWNED_CELLS_DELAY: Duration = Duration::from_secs(1);

/// Poll cycles within which an owner that answered counts as active: slightly more than one.
const OWNER_ACTIVE_CYCLES: f64 = 1.4;

/// Pause between two polls of an entry with one full core, which lets it receive several renewals
/// at once. An entry with a tenth of a core pauses ten times as long.
const FULL_CORE_FOLLOW_PAUSE: Duration = Duration::from_millis(50);

/// Upper bound of the follow pause: half of `MIN_OWNERSHIP_LEASE`.
const MAX_FOLLOW_PAUSE: Duration = Duration::from_millis(475);

/// Allowance for a slow worker clock: the largest drift that the platform specifies, plus a margin.
const CLOCK_DRIFT_FACTOR: f64 = 1.04;

/// Added to the leases of earlier owners, because a worker's timers may fire late.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(200);

/// Watches the ownership rows, and takes over cells that have no owner.
pub(crate) async fn run(node: Rc<Node>) {
    let mut ownerships = OwnershipFeed::new(&node);
    loop {
        ownerships.include_cells(&node);
        ownerships.forget_ended_ownerships(&node);
        if node.cells().iter().all(|cell| cell.is_owned()) {
            node.ownership_ended.notified().await;
        } else {
            watch_for_takeover(&node, &mut ownerships).await;
        }
    }
}

/// Renews the ownership until it ends.
async fn renew_until_ended(node: Rc<Node>, owner: Rc<Owner>) {
    while !owner.has_ended() {
        if owner.needs_renewal(node.now()) {
            renew(&node, &owner).await;
        }
        if owner.have_worker_leases_expired(node.now()) {
            owner.cell().drop_ownership(&node, "lapsed");
        }
        tokio::time::sleep(RENEWAL_CHECK_INTERVAL).await;
    }
}

/// What a renewal of the ownership states.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Renewal {
    pub(crate) fencing_number: FencingNumber,
    pub(crate) sent_at: BootTime,
    /// Duration of the ownership lease from this renewal on.
    pub(crate) ownership_lease: Duration,
    /// How long orders may reach the VM service.
    pub(crate) vm_orders_on_the_way: Duration,
    /// How long leases that earlier owners granted to workers may last.
    pub(crate) inherited_leases: Duration,
    /// How long those of them may last that owners of earlier versions granted.
    pub(crate) earlier_version_leases: Duration,
}

impl Renewal {
    /// Returns the write that renews the ownership of a cell.
    pub(crate) fn write(self, cell: &CellState) -> (RowKey, Vec<u8>) {
        let milliseconds = |duration: Duration| duration.as_millis() as u64;
        let renewal = RenewalRow {
            fencing_number: self.fencing_number.get(),
            sent_at_ms: self.sent_at.as_millis(),
            lease_ms: milliseconds(self.ownership_lease),
            vm_orders_on_the_way_ms: Some(milliseconds(self.vm_orders_on_the_way)),
            inherited_leases_ms: Some(milliseconds(self.inherited_leases)),
            earlier_version_leases_ms: Some(milliseconds(self.earlier_version_leases)),
        };
        (cell_row(cell, RENEWAL_KEY), renewal.encode_to_vec())
    }
}

async fn renew(node: &Node, owner: &Rc<Owner>) {
    let sent_at = node.now();
    let ownership_lease = owner.request_ownership_lease();
    let transaction = Transaction {
        writes: vec![owner.renewal(sent_at, ownership_lease).write(owner.cell())],
        ..owner_transaction(owner)
    };
    let timeout = owner.commit_timeout();
    let outcome = node.store.commit_within(&transaction, timeout).await;
    let now = node.now();
    owner.record_round_trip(now.since(sent_at));
    match &outcome {
        Ok(CommitOutcome::Stored(_)) => {
            node.last_store_contact.set(now);
            owner.confirm_renewal(sent_at);
            telemetry::count_store_call("renew", "stored", now.since(sent_at));
        }
        Ok(CommitOutcome::Conflict(_)) if owner.has_ended() => {}
        Ok(CommitOutcome::Conflict(_)) => owner.cell().drop_ownership(node, "taken_over"),
        Err(error) => {
            log::warn!("event=renewal_failed error={error}");
            telemetry::count_store_call("renew", "failed", now.since(sent_at));
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn watch_for_takeover(node: &Rc<Node>, ownerships: &mut OwnershipFeed) {
    if let Err(error) = watch::follow(node, ownerships).await {
        log::debug!("event=cell_feed_failed error={error}");
        ownerships.store_available_since = None;
        tokio::time::sleep(RETRY_PAUSE).await;
        return;
    }
    let now = node.now();
    node.last_store_contact.set(now);
    ownerships.store_available_since.get_or_insert(now);
    if node.is_stopping.get() {
        tokio::time::sleep(RETRY_PAUSE).await;
        return;
    }
    if node.config.borrow().version == 0 {
        ownerships.feed.restart();
        tokio::time::sleep(CONFIG_POLL_PAUSE).await;
        return;
    }
    if ownerships.watches.len() < node.cells().len() {
        // The rows of further cells are read first.
        return;
    }
    if let Some(cell) = ownerships.next_takeover(node) {
        tokio::time::sleep(takeover_delay(node.settings.cpu_share, node.owners().len())).await;
        let known_owner = cell.known_owner.borrow().clone();
        let watch = &ownerships.watches[usize::from(cell.id.number())];
        take_over(node, &cell, watch, &known_owner).await;
    } else if are_owners_active(node) {
        tokio::time::sleep(follow_pause(node.settings.cpu_share)).await;
    }
}

/// Returns whether the owners of all cells that this entry does not own have answered lately.
fn are_owners_active(node: &Node) -> bool {
    let active_within = node.poll_cycle().mul_f64(OWNER_ACTIVE_CYCLES);
    let is_active = |cell: &Rc<CellState>| cell.owner_silence(node.now()) < active_within;
    node.cells()
        .iter()
        .all(|cell| cell.is_owned() || is_active(cell))
}

/// Returns the pause between two polls while the owner is active. Every call to the store has a
/// cost, and an entry with little processor time is an unlikely successor.
fn follow_pause(cpu_share: f64) -> Duration {
    FULL_CORE_FOLLOW_PAUSE
        .div_f64(cpu_share)
        .min(MAX_FOLLOW_PAUSE)
}

/// Returns the delay before this entry takes over a free cell. Entries with less processor time, or
/// with cells already, wait longer.
fn takeover_delay(cpu_share: f64, owned_cells: usize) -> Duration {
    let jitter_ms = rand::rng().random_range(0..MAX_TAKEOVER_JITTER_MS);
    let for_owned_cells = OWNED_CELL_DELAY * owned_cells as u32;
    FULL_CORE_TAKEOVER_DELAY.div_f64(cpu_share)
        + for_owned_cells.min(MAX_OWNED_CELLS_DELAY)
        + Duration::from_millis(jitter_ms)
}

/// Returns how long leases of earlier owners may last from a moment after which the last of them
/// grants none. `inherited` is what that owner stated of leases of the owners before it. An owner
/// that fell silent may grant leases on, up to the longest one.
pub(crate) fn max_inherited_lease(
    inherited: Option<Duration>,
    own_lease: Duration,
    max_lease: Duration,
) -> Duration {
    let lease = inherited.map_or(max_lease, |inherited| inherited.max(own_lease));
    lease.mul_f64(CLOCK_DRIFT_FACTOR) + LEASE_EXPIRY_MARGIN
}

/// Returns until when leases that owners of earlier versions granted may last: as long as workers grant
/// them, if the last owner was one.
fn earlier_version_leases_until(node: &Node, watch: &OwnershipWatch) -> BootTime {
    if watch.owner_row_version.is_none() {
        return BootTime::default();
    }
    let left = watch.earlier_version_leases.unwrap_or_else(|| {
        max_inherited_lease(
            None,
            node.settings.scheduler().lease,
            node.settings.max_lease(),
        )
    });
    watch.last_change_at + left
}

/// Returns until when leases of earlier owners may last. Without an owner row there was none.
fn inherited_leases_until(node: &Node, watch: &OwnershipWatch, end: PredecessorEnd) -> BootTime {
    if watch.owner_row_version.is_none() {
        return BootTime::default();
    }
    let inherited = match end {
        // Its leases may be longer than it states.
        _ if node.now() < earlier_version_leases_until(node, watch) => None,
        PredecessorEnd::Released => watch.inherited_at_release,
        // It ended before this process first read the rows.
        PredecessorEnd::EarlierProcess => watch.inherited_leases,
        PredecessorEnd::Silent(_) => None,
    };
    let own_lease = node.settings.scheduler().lease;
    watch.last_change_at + max_inherited_lease(inherited, own_lease, node.settings.max_lease())
}

/// Returns how the last owner ended, as far as the ownership rows tell.
fn predecessor_end(
    node: &Node,
    watch: &OwnershipWatch,
    known_owner: &KnownOwner,
) -> PredecessorEnd {
    match &known_owner.holder {
        None => PredecessorEnd::Released,
        Some(holder) if holder.entry == node.settings.entry => PredecessorEnd::EarlierProcess,
        Some(_) => PredecessorEnd::Silent(watch.lease()),
    }
}

/// Returns until when orders of earlier owners may reach the VM service.
fn inherited_vm_orders_until(node: &Node, watch: &OwnershipWatch, end: PredecessorEnd) -> BootTime {
    if watch.owner_row_version.is_none() {
        return BootTime::default();
    }
    let order_time = node.settings.vm_order_time();
    watch.last_change_at + inherited_order_time(end, watch.vm_orders_on_the_way, order_time)
}

/// Returns the fencing number of the next owner of a cell. It exceeds those of owners from before the
/// division, which workers of this cell may have seen.
fn next_fencing_number(node: &Node, known_owner: &KnownOwner) -> FencingNumber {
    let floor = node.layout().map(|layout| layout.fence_floor());
    known_owner
        .fencing_number
        .max(floor.unwrap_or_default())
        .next()
}

async fn take_over(
    node: &Rc<Node>,
    cell: &Rc<CellState>,
    watch: &OwnershipWatch,
    known_owner: &KnownOwner,
) {
    let fencing_number = next_fencing_number(node, known_owner);
    let this_entry = Holder {
        entry: node.settings.entry.clone(),
        address: node.settings.peers,
        incarnation: node.incarnation,
        reads_cancellations: true,
    };
    let end = predecessor_end(node, watch, known_owner);
    let vm_orders_until = inherited_vm_orders_until(node, watch, end);
    let leases_until = inherited_leases_until(node, watch, end);
    let earlier_version_leases_until = earlier_version_leases_until(node, watch);
    let owner_row = OwnerRow {
        fencing_number: fencing_number.get(),
        holder: Some(HolderMessage::from(&this_entry)),
        inherited_lease_ms: 0,
    };
    let renewal = Renewal {
        fencing_number,
        sent_at: BootTime::default(),
        ownership_lease: MIN_OWNERSHIP_LEASE,
        vm_orders_on_the_way: vm_orders_until.since(node.now()),
        inherited_leases: leases_until.since(node.now()),
        earlier_version_leases: earlier_version_leases_until.since(node.now()),
    };
    let transaction = Transaction {
        expected: vec![
            (cell_row(cell, OWNER_KEY), watch.owner_row_version),
            (cell_row(cell, RENEWAL_KEY), watch.renewal_row_version),
        ],
        writes: vec![
            (cell_row(cell, OWNER_KEY), owner_row.encode_to_vec()),
            renewal.write(cell),
        ],
        removed: Vec::new(),
    };
    let sent_at = node.now();
    match node.store.commit(&transaction).await {
        Ok(CommitOutcome::Stored(version)) => {
            let silent_for = sent_at.since(watch.last_change_at);
            log::info!(
                "event=ownership_gained fence={fencing_number} cell={} silent_for={silent_for:?}",
                cell.id
            );
            cell.update_known_owner(node, fencing_number, Some(this_entry));
            let inheritance = Inheritance {
                vm_orders_arrive_by: vm_orders_until,
                leases_until,
                earlier_version_leases_until,
            };
            let owner = Owner::new(node, cell, fencing_number, version, sent_at, inheritance);
            if let Some(predecessor) = &known_owner.holder
                && predecessor.entry != node.settings.entry
            {
                let stated = Stated {
                    vm_orders: watch.vm_orders_on_the_way,
                    inherited_leases: watch
                        .inherited_leases
                        .filter(|_| earlier_version_leases_until <= node.now()),
                };
                predecessor::ask(node, &owner, predecessor.clone(), stated);
            }
            if owner::start(node, &owner).await {
                let renewals = renew_until_ended(Rc::clone(node), Rc::clone(&owner));
                spawn_owner_loop(node, &owner, "renewals", Activity::Rows, renewals);
            }
        }
        Ok(CommitOutcome::Conflict(_)) => log::debug!(
            "event=takeover_lost cell={} fence={fencing_number}",
            cell.id
        ),
        Err(error) => log::warn!(
            "event=takeover_failed cell={} fence={fencing_number} error={error}",
            cell.id
        ),
    }
}

/// Releases the ownership of all cells before a planned stop, so that other entries can take over at
/// once.
pub(crate) async fn release_ownerships(node: &Rc<Node>) {
    let mut releases = JoinSet::new();
    for owner in node.owners() {
        let node = Rc::clone(node);
        releases.spawn_local(async move { release_ownership(&node, &owner).await });
    }
    while let Some(released) = releases.join_next().await {
        if let Err(error) = released {
            log::error!("event=ownership_release_failed error={error}");
        }
    }
}

async fn release_ownership(node: &Node, owner: &Rc<Owner>) {
    let cell = owner.cell();
    owner.close().await;
    let now = node.now();
    // No lease may be granted after this: the next owner counts lease expiry from when it sees the
    // row.
    cell.drop_ownership(node, "handed_back");
    let inherited = owner.inherited_leases_remaining(now);
    let row = OwnerRow {
        fencing_number: owner.fencing_number().get(),
        holder: None,
        inherited_lease_ms: inherited.as_millis() as u64,
    };
    let renewal = owner.renewal(now, MIN_OWNERSHIP_LEASE);
    let transaction = Transaction {
        writes: vec![
            (cell_row(cell, OWNER_KEY), row.encode_to_vec()),
            renewal.write(cell),
        ],
        ..owner_transaction(owner)
    };
    match node.store.commit(&transaction).await {
        Ok(_) => cell.update_known_owner(node, owner.fencing_number(), None),
        Err(error) => log::warn!("event=ownership_release_failed error={error}"),
    }
}

/// Returns a transaction without writes that commits only while this entry is still the owner.
pub(crate) fn owner_transaction(owner: &Owner) -> Transaction {
    let owner_row = cell_row(owner.cell(), OWNER_KEY);
    Transaction {
        expected: vec![(owner_row, Some(owner.owner_row_version()))],
        ..Transaction::default()
    }
}

/// Returns the transaction by which the owner of an undivided fleet divides it.
pub(crate) fn division(owner: &Owner, layout: &CellLayout) -> Transaction {
    let layout_row = cell_row(owner.cell(), LAYOUT_KEY);
    let mut transaction = owner_transaction(owner);
    transaction.expected.push((layout_row.clone(), None));
    transaction.writes.push((layout_row, layout.encode()));
    transaction
}

#[cfg(test)]
mod tests;
