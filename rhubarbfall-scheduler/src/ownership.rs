//! Ownership of the submissions: election, renewal, takeover and release.
//!
//! The store holds two rows: the owner row, which only a conditional write changes, and the renewal
//! row, which the owner updates to extend its ownership lease.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use rand::RngExt;
use rhubarbfall_core::{BootTime, FencingNumber, RowVersion};
use rhubarbfall_site::{CommitOutcome, RowKey, StoreError, StoredRow, Transaction};

use crate::node::{Holder, KnownOwner, Node};
use crate::owner::{self, CELL_PART, Inheritance, Owner};
use crate::peer_status::HolderMessage;
use crate::predecessor::{self, Stated};
use crate::table_feed::{TableFeed, TableUpdate};
use crate::telemetry;
use crate::vm_orders_on_the_way::{PredecessorEnd, inherited_order_time};

/// Table with the ownership rows of each cell.
const CELL_TABLE: &str = "cell";

const OWNER_KEY: &str = "owner";
const RENEWAL_KEY: &str = "renewal";

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

/// Longest time for which the store may hold a poll without changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time for which the store is asked to hold a poll.
const MIN_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(60);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Pause before a starting entry checks again whether it has read its configuration.
const CONFIG_POLL_PAUSE: Duration = Duration::from_millis(40);

/// Time for which the store must have answered without a failure before missing renewals count
/// against the owner, which may have lost the store as well.
const STORE_STABLE_AFTER: Duration = Duration::from_millis(700);

/// Upper bound of the random delay before a takeover, which keeps entries from writing at once.
const MAX_TAKEOVER_JITTER_MS: u64 = 60;

/// Takeover delay of an entry with one full core. An entry with a tenth of a core waits ten times
/// as long, which is still a fraction of the duration of a takeover.
const FULL_CORE_TAKEOVER_DELAY: Duration = Duration::from_millis(30);

/// An owner that answered within this time counts as active: slightly more than the interval
/// between two status polls.
const OWNER_ACTIVE_WITHIN: Duration = Duration::from_millis(350);

/// Pause between two polls of an entry with one full core, which lets it receive several renewals
/// at once. An entry with a tenth of a core pauses ten times as long.
const FULL_CORE_FOLLOW_PAUSE: Duration = Duration::from_millis(50);

/// Upper bound of the follow pause: half of `MIN_OWNERSHIP_LEASE`.
const MAX_FOLLOW_PAUSE: Duration = Duration::from_millis(475);

/// Allowance for a slow worker clock: the largest drift that the platform specifies, plus a margin.
const CLOCK_DRIFT_FACTOR: f64 = 1.04;

/// Added to the leases of earlier owners, because a worker's timers may fire late.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(200);

#[derive(Clone, PartialEq, Message)]
struct OwnerRow {
    #[prost(uint64, tag = "1")]
    fencing_number: u64,
    #[prost(message, optional, tag = "2")]
    holder: Option<HolderMessage>,
    /// Remaining time of leases granted by owners before this one, if the ownership is released; in
    /// milliseconds.
    #[prost(uint64, tag = "3")]
    inherited_lease_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RenewalRow {
    #[prost(uint64, tag = "1")]
    fencing_number: u64,
    #[prost(uint64, tag = "2")]
    sent_at_ms: u64,
    /// Duration of the ownership lease from this renewal on, in milliseconds.
    #[prost(uint64, tag = "3")]
    lease_ms: u64,
    /// How long orders of earlier owners, and unanswered ones of this owner, may reach the VM service
    /// after this write; in milliseconds. Earlier versions do not write it.
    #[prost(uint64, optional, tag = "4")]
    vm_orders_on_the_way_ms: Option<u64>,
    /// How long leases that owners before this one granted to workers may last after this write; in
    /// milliseconds. Earlier versions do not write it.
    #[prost(uint64, optional, tag = "5")]
    inherited_leases_ms: Option<u64>,
}

/// Ownership rows as last seen by this entry.
#[derive(Debug)]
struct OwnershipWatch {
    feed: TableFeed,
    owner_row_version: Option<RowVersion>,
    renewal_row_version: Option<RowVersion>,
    /// Duration of the ownership lease in the latest renewal.
    ownership_lease: Duration,
    /// Set if the last owner released its ownership: the remaining time of leases granted by the
    /// owners before it.
    inherited_at_release: Option<Duration>,
    /// What the latest renewal states of orders for VMs on their way when it was written.
    vm_orders_on_the_way: Option<Duration>,
    /// What the latest renewal states of leases of the owners before its writer.
    inherited_leases: Option<Duration>,
    /// Time when a change of either row was last seen.
    last_change_at: BootTime,
    /// Time since which the store has answered without a failure.
    store_available_since: Option<BootTime>,
}

impl OwnershipWatch {
    /// Creates a watch that has not seen any row.
    fn new(now: BootTime) -> Self {
        Self {
            feed: TableFeed::new(CELL_TABLE, CELL_PART),
            owner_row_version: None,
            renewal_row_version: None,
            ownership_lease: Duration::ZERO,
            inherited_at_release: None,
            vm_orders_on_the_way: None,
            inherited_leases: None,
            last_change_at: now,
            store_available_since: None,
        }
    }

    /// Returns the time for which the store may hold a poll, so that the end of the ownership lease
    /// is noticed soon.
    fn long_poll_timeout(&self, now: BootTime) -> Duration {
        let ownership_lease = self.ownership_lease.max(MIN_OWNERSHIP_LEASE);
        ownership_lease
            .saturating_sub(now.since(self.last_change_at))
            .clamp(MIN_LONG_POLL_TIMEOUT, LONG_POLL_TIMEOUT)
    }
}

/// Watches the ownership rows, takes over when there is no owner, and renews the ownership while
/// this entry holds it.
pub(crate) async fn run(node: Rc<Node>) {
    let mut watch = OwnershipWatch::new(node.now());
    loop {
        let owner = node.owner.borrow().clone();
        if let Some(owner) = owner {
            renew_until_ended(&node, &owner).await;
            // This entry's own writes have changed the rows.
            watch = OwnershipWatch::new(node.now());
        } else {
            watch_for_takeover(&node, &mut watch).await;
        }
    }
}

/// Renews the ownership until it ends.
async fn renew_until_ended(node: &Rc<Node>, owner: &Rc<Owner>) {
    while !owner.has_ended() {
        if owner.needs_renewal(node.now()) {
            renew(node, owner).await;
        }
        if owner.have_worker_leases_expired(node.now()) {
            node.drop_ownership("lapsed");
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
}

impl Renewal {
    /// Returns the write that renews the ownership.
    pub(crate) fn write(self) -> (RowKey, Vec<u8>) {
        let milliseconds = |duration: Duration| duration.as_millis() as u64;
        let renewal = RenewalRow {
            fencing_number: self.fencing_number.get(),
            sent_at_ms: self.sent_at.as_millis(),
            lease_ms: milliseconds(self.ownership_lease),
            vm_orders_on_the_way_ms: Some(milliseconds(self.vm_orders_on_the_way)),
            inherited_leases_ms: Some(milliseconds(self.inherited_leases)),
        };
        (cell_row(RENEWAL_KEY), renewal.encode_to_vec())
    }
}

async fn renew(node: &Node, owner: &Rc<Owner>) {
    let sent_at = node.now();
    let ownership_lease = owner.request_ownership_lease();
    let transaction = Transaction {
        writes: vec![owner.renewal(sent_at, ownership_lease).write()],
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
        Ok(CommitOutcome::Conflict(_)) => node.drop_ownership("taken_over"),
        Err(error) => {
            log::warn!("event=renewal_failed error={error}");
            telemetry::count_store_call("renew", "failed", now.since(sent_at));
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn watch_for_takeover(node: &Rc<Node>, watch: &mut OwnershipWatch) {
    if let Err(error) = follow(node, watch).await {
        log::debug!("event=cell_feed_failed error={error}");
        watch.store_available_since = None;
        tokio::time::sleep(RETRY_PAUSE).await;
        return;
    }
    let now = node.now();
    node.last_store_contact.set(now);
    let store_available_since = *watch.store_available_since.get_or_insert(now);
    if node.is_stopping.get() {
        tokio::time::sleep(RETRY_PAUSE).await;
        return;
    }
    if node.config.borrow().version == 0 {
        watch.feed.restart();
        tokio::time::sleep(CONFIG_POLL_PAUSE).await;
        return;
    }
    let known_owner = node.known_owner.borrow().clone();
    let is_free = known_owner.holder.is_none();
    let was_this_entry = known_owner
        .holder
        .as_ref()
        .is_some_and(|holder| holder.entry == node.settings.entry);
    let is_silent = now.since(watch.last_change_at)
        > watch.ownership_lease.max(MIN_OWNERSHIP_LEASE)
        && now.since(store_available_since) > STORE_STABLE_AFTER;
    if is_free || was_this_entry || is_silent {
        tokio::time::sleep(takeover_delay(node.settings.cpu_share)).await;
        take_over(node, watch, &known_owner).await;
    } else if node.owner_silence() < OWNER_ACTIVE_WITHIN {
        tokio::time::sleep(follow_pause(node.settings.cpu_share)).await;
    }
}

/// Returns the pause between two polls while the owner is active. Every call to the store has a
/// cost, and an entry with little processor time is an unlikely successor.
fn follow_pause(cpu_share: f64) -> Duration {
    FULL_CORE_FOLLOW_PAUSE
        .div_f64(cpu_share)
        .min(MAX_FOLLOW_PAUSE)
}

/// Returns the delay before this entry takes over a free ownership. Entries with less processor
/// time wait longer, because scheduling for all workers takes more than the smallest entries have.
fn takeover_delay(cpu_share: f64) -> Duration {
    let jitter_ms = rand::rng().random_range(0..MAX_TAKEOVER_JITTER_MS);
    FULL_CORE_TAKEOVER_DELAY.div_f64(cpu_share) + Duration::from_millis(jitter_ms)
}

async fn follow(node: &Node, watch: &mut OwnershipWatch) -> Result<(), StoreError> {
    let long_poll_timeout = watch.long_poll_timeout(node.now());
    match watch.feed.next(&node.store, long_poll_timeout).await? {
        TableUpdate::Snapshot(rows) | TableUpdate::Changes(rows) => {
            for row in &rows {
                apply_row(node, watch, row);
            }
        }
        TableUpdate::HistoryLost(after) => log::debug!("event=cell_history_lost after={after}"),
    }
    Ok(())
}

fn apply_row(node: &Node, watch: &mut OwnershipWatch, row: &StoredRow) {
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
                node.update_known_owner(FencingNumber::new(owner.fencing_number), holder);
            }
            Err(error) => log::error!("event=owner_row_malformed error={error}"),
        }
    }
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

/// Returns until when leases of earlier owners may last. Without an owner row there was none.
fn inherited_leases_until(node: &Node, watch: &OwnershipWatch, end: PredecessorEnd) -> BootTime {
    if watch.owner_row_version.is_none() {
        return BootTime::default();
    }
    let inherited = match end {
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
        Some(_) => PredecessorEnd::Silent(watch.ownership_lease.max(MIN_OWNERSHIP_LEASE)),
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

async fn take_over(node: &Rc<Node>, watch: &mut OwnershipWatch, known_owner: &KnownOwner) {
    let fencing_number = known_owner.fencing_number.next();
    let this_entry = Holder {
        entry: node.settings.entry.clone(),
        address: node.settings.peers,
        incarnation: node.incarnation,
        reads_cancellations: true,
    };
    let end = predecessor_end(node, watch, known_owner);
    let vm_orders_until = inherited_vm_orders_until(node, watch, end);
    let leases_until = inherited_leases_until(node, watch, end);
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
    };
    let transaction = Transaction {
        expected: vec![
            (cell_row(OWNER_KEY), watch.owner_row_version),
            (cell_row(RENEWAL_KEY), watch.renewal_row_version),
        ],
        writes: vec![
            (cell_row(OWNER_KEY), owner_row.encode_to_vec()),
            renewal.write(),
        ],
        removed: Vec::new(),
    };
    let sent_at = node.now();
    match node.store.commit(&transaction).await {
        Ok(CommitOutcome::Stored(version)) => {
            let silent_for = sent_at.since(watch.last_change_at);
            log::info!("event=ownership_gained fence={fencing_number} silent_for={silent_for:?}");
            node.update_known_owner(fencing_number, Some(this_entry));
            let inheritance = Inheritance {
                vm_orders_until,
                leases_until,
            };
            let owner = Owner::new(node, fencing_number, version, sent_at, inheritance);
            if let Some(predecessor) = &known_owner.holder
                && predecessor.entry != node.settings.entry
            {
                let stated = Stated {
                    vm_orders: watch.vm_orders_on_the_way,
                    inherited_leases: watch.inherited_leases,
                };
                predecessor::ask(node, &owner, predecessor.clone(), stated);
            }
            owner::start(node, owner).await;
        }
        Ok(CommitOutcome::Conflict(_)) => log::debug!("event=takeover_lost fence={fencing_number}"),
        Err(error) => log::warn!("event=takeover_failed fence={fencing_number} error={error}"),
    }
}

/// Releases the ownership before a planned stop, so that another entry can take over at once.
pub(crate) async fn release_ownership(node: &Rc<Node>) {
    let Some(owner) = node.owner.borrow().clone() else {
        return;
    };
    owner.close().await;
    let now = node.now();
    // No lease may be granted after this: the next owner counts lease expiry from when it sees the
    // row.
    node.drop_ownership("handed_back");
    let inherited = owner.inherited_leases_remaining(now);
    let row = OwnerRow {
        fencing_number: owner.fencing_number().get(),
        holder: None,
        inherited_lease_ms: inherited.as_millis() as u64,
    };
    let renewal = owner.renewal(now, MIN_OWNERSHIP_LEASE);
    let transaction = Transaction {
        writes: vec![(cell_row(OWNER_KEY), row.encode_to_vec()), renewal.write()],
        ..owner_transaction(&owner)
    };
    match node.store.commit(&transaction).await {
        Ok(_) => node.update_known_owner(owner.fencing_number(), None),
        Err(error) => log::warn!("event=ownership_release_failed error={error}"),
    }
}

fn cell_row(key: &str) -> RowKey {
    RowKey::new(CELL_TABLE, CELL_PART, key)
}

/// Returns a transaction without writes that commits only while this entry is still the owner.
pub(crate) fn owner_transaction(owner: &Owner) -> Transaction {
    Transaction {
        expected: vec![(cell_row(OWNER_KEY), Some(owner.owner_row_version()))],
        ..Transaction::default()
    }
}

#[cfg(test)]
mod tests;
