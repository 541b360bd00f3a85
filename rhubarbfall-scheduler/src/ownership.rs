//! Which entry owns the submissions: one row in the store that only a conditional write changes,
//! and one that its owner renews.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use rand::RngExt;
use rhubarbfall_core::{BootTime, FencingNumber, RowVersion};
use rhubarbfall_site::{CommitOutcome, RowKey, StoreError, StoredRow, Transaction};

use crate::beacon::HolderMessage;
use crate::node::{Holder, Node, OwnerBelief};
use crate::owner::{self, CELL_PART, Owner};
use crate::table_feed::{TableFeed, TableNews};
use crate::telemetry;

/// The table with the ownership of the cells.
const CELL_TABLE: &str = "cell";

const OWNER_KEY: &str = "owner";
const RENEWAL_KEY: &str = "renewal";

/// How often the owner renews: several times within the time after which others take over.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(230);

/// Others take over when no renewal was seen for at least this long while the store answered: long
/// enough for two lost renewals, and short against a caller's patience.
pub(crate) const MIN_TENURE: Duration = Duration::from_millis(950);

/// The most that a slow store lengthens that time to.
pub(crate) const MAX_TENURE: Duration = Duration::from_secs(3);

/// How many round trips of a renewal the time is at least.
pub(crate) const TENURE_ROUND_TRIPS: u32 = 4;

/// How often it is looked whether a renewal is due.
const RENEW_CHECK: Duration = Duration::from_millis(60);

/// How long the store may hold a call for changes.
const WAIT: Duration = Duration::from_secs(1);

/// The shortest time for which the store is asked to hold a call.
const MIN_WAIT: Duration = Duration::from_millis(60);

/// The pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The pause until an entry that has just started has read its configuration.
const CONFIG_PAUSE: Duration = Duration::from_millis(40);

/// How long the store must have answered again before silence counts against the owner, which may
/// have been cut off as well.
const STORE_SETTLED: Duration = Duration::from_millis(700);

/// Entries that see a free ownership wait up to this long, so that not all write at once.
const MAX_JITTER_MS: u64 = 60;

/// How long an entry with a whole core leaves a free ownership to others; one with a tenth waits ten
/// times as long, a fraction of the time that a takeover takes.
const WHOLE_CORE_DELAY: Duration = Duration::from_millis(30);

/// An owner that answered this entry within this time is at work: a little more than the time between
/// two regular exchanges.
const OWNER_AT_WORK: Duration = Duration::from_millis(350);

/// How long an entry with a whole core lets renewals come together; one with a tenth ten times as
/// long.
const WHOLE_CORE_PAUSE: Duration = Duration::from_millis(50);

/// The longest of these pauses: half of the shortest time after which an owner counts as silent.
const MAX_FOLLOW_PAUSE: Duration = Duration::from_millis(475);

/// The slowest that a worker's clock may run, as the platform states it, and a margin.
const LEASE_SLACK: f64 = 1.04;

/// What is added to a predecessor's lease: a worker's timers fire late.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

#[derive(Clone, PartialEq, Message)]
struct OwnerRow {
    #[prost(uint64, tag = "1")]
    fencing_number: u64,
    #[prost(message, optional, tag = "2")]
    holder: Option<HolderMessage>,
    /// For how long leases of still earlier owners may last, when the ownership is handed back.
    #[prost(uint64, tag = "3")]
    inherited_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RenewalRow {
    #[prost(uint64, tag = "1")]
    fencing_number: u64,
    #[prost(uint64, tag = "2")]
    count: u64,
    /// How long this renewal keeps others from taking over.
    #[prost(uint64, tag = "3")]
    tenure_ms: u64,
}

/// What an entry has seen of the ownership rows.
#[derive(Debug)]
struct Watch {
    feed: TableFeed,
    owner_row: Option<RowVersion>,
    renewal_row: Option<RowVersion>,
    /// How long the newest renewal keeps others from taking over.
    tenure: Duration,
    /// Whether the ownership was handed back, and for how long leases of still earlier owners may last.
    handed_back: Option<Duration>,
    /// When a change of either row was seen last.
    heard_at: BootTime,
    /// Since when the store has answered without a failure.
    answers_since: Option<BootTime>,
}

impl Watch {
    /// Begins without knowing anything.
    fn new(now: BootTime) -> Self {
        Self {
            feed: TableFeed::new(CELL_TABLE, CELL_PART),
            owner_row: None,
            renewal_row: None,
            tenure: Duration::ZERO,
            handed_back: None,
            heard_at: now,
            answers_since: None,
        }
    }

    /// Returns how long the store may hold a call, so that the end of the owner's time is seen soon.
    fn wait(&self, now: BootTime) -> Duration {
        let tenure = self.tenure.max(MIN_TENURE);
        tenure
            .saturating_sub(now.since(self.heard_at))
            .clamp(MIN_WAIT, WAIT)
    }
}

/// Watches the ownership, takes it over when it is free, and renews it while held.
pub(crate) async fn run(node: Rc<Node>) {
    let mut watch = Watch::new(node.now());
    loop {
        let owner = node.owner.borrow().clone();
        if let Some(owner) = owner {
            keep(&node, &owner).await;
            // The rows have changed by this entry's own writes.
            watch = Watch::new(node.now());
        } else {
            observe(&node, &mut watch).await;
        }
    }
}

/// Renews the ownership until it ends.
async fn keep(node: &Rc<Node>, owner: &Rc<Owner>) {
    while !owner.has_ended() {
        if owner.needs_renewal(node.now()) {
            renew(node, owner).await;
        }
        if owner.has_lapsed(node.now()) {
            node.drop_ownership("lapsed");
        }
        tokio::time::sleep(RENEW_CHECK).await;
    }
}

/// Returns the write that renews the ownership for `tenure`.
pub(crate) fn renewal_write(
    fencing_number: FencingNumber,
    sent_at: BootTime,
    tenure: Duration,
) -> (RowKey, Vec<u8>) {
    let renewal = RenewalRow {
        fencing_number: fencing_number.get(),
        count: sent_at.as_millis(),
        tenure_ms: tenure.as_millis() as u64,
    };
    (cell_row(RENEWAL_KEY), renewal.encode_to_vec())
}

async fn renew(node: &Node, owner: &Rc<Owner>) {
    let sent_at = node.now();
    let renewal = renewal_write(owner.fencing_number(), sent_at, owner.ask_tenure());
    let transaction = Transaction {
        writes: vec![renewal],
        ..owner_transaction(owner)
    };
    let timeout = owner.commit_timeout();
    let outcome = node.store.commit_within(&transaction, timeout).await;
    let now = node.now();
    owner.note_round_trip(now.since(sent_at));
    match &outcome {
        Ok(CommitOutcome::Stored(_)) => {
            node.store_heard_at.set(now);
            owner.confirm(sent_at);
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

async fn observe(node: &Rc<Node>, watch: &mut Watch) {
    if let Err(error) = follow(node, watch).await {
        log::debug!("event=cell_feed_failed error={error}");
        watch.answers_since = None;
        tokio::time::sleep(RETRY_PAUSE).await;
        return;
    }
    let now = node.now();
    node.store_heard_at.set(now);
    let answers_since = *watch.answers_since.get_or_insert(now);
    if node.is_stopping.get() {
        tokio::time::sleep(RETRY_PAUSE).await;
        return;
    }
    if node.config.borrow().version == 0 {
        watch.feed.restart();
        tokio::time::sleep(CONFIG_PAUSE).await;
        return;
    }
    let belief = node.belief.borrow().clone();
    let is_free = belief.holder.is_none();
    let was_me = belief
        .holder
        .as_ref()
        .is_some_and(|holder| holder.entry == node.settings.entry);
    let is_silent = now.since(watch.heard_at) > watch.tenure.max(MIN_TENURE)
        && now.since(answers_since) > STORE_SETTLED;
    if is_free || was_me || is_silent {
        tokio::time::sleep(takeover_delay(node.settings.cpu_share)).await;
        take_over(node, watch, &belief).await;
    } else if node.owner_silence() < OWNER_AT_WORK {
        tokio::time::sleep(follow_pause(node.settings.cpu_share)).await;
    }
}

/// Returns how long an entry lets renewals come together while the owner is at work: every call to the
/// store has its price, and an entry with little processor time is no successor.
fn follow_pause(cpu_share: f64) -> Duration {
    WHOLE_CORE_PAUSE.div_f64(cpu_share).min(MAX_FOLLOW_PAUSE)
}

/// Returns how long an entry leaves a free ownership to others: those with less processor time wait
/// longer, since deciding for all workers takes more than the smallest of them have.
fn takeover_delay(cpu_share: f64) -> Duration {
    let jitter_ms = rand::rng().random_range(0..MAX_JITTER_MS);
    WHOLE_CORE_DELAY.div_f64(cpu_share) + Duration::from_millis(jitter_ms)
}

async fn follow(node: &Node, watch: &mut Watch) -> Result<(), StoreError> {
    let wait = watch.wait(node.now());
    match watch.feed.next(&node.store, wait).await? {
        TableNews::All(rows) | TableNews::Changes(rows) => {
            for row in &rows {
                take_row(node, watch, row);
            }
        }
        TableNews::HistoryLost(after) => log::debug!("event=cell_history_lost after={after}"),
    }
    Ok(())
}

fn take_row(node: &Node, watch: &mut Watch, row: &StoredRow) {
    let seen = match &*row.key.key {
        OWNER_KEY => &mut watch.owner_row,
        RENEWAL_KEY => &mut watch.renewal_row,
        _ => return,
    };
    if seen.is_some_and(|seen| seen >= row.version) {
        return;
    }
    *seen = Some(row.version);
    watch.heard_at = node.now();
    if &*row.key.key == RENEWAL_KEY {
        match RenewalRow::decode(&*row.value) {
            Ok(renewal) => watch.tenure = Duration::from_millis(renewal.tenure_ms),
            Err(error) => log::error!("event=renewal_row_malformed error={error}"),
        }
    }
    if &*row.key.key == OWNER_KEY {
        match OwnerRow::decode(&*row.value) {
            Ok(owner) => {
                let inherited = Duration::from_millis(owner.inherited_ms);
                watch.handed_back = owner.holder.is_none().then_some(inherited);
                let holder = owner.holder.as_ref().and_then(HolderMessage::read);
                node.accept_belief(FencingNumber::new(owner.fencing_number), holder);
            }
            Err(error) => log::error!("event=owner_row_malformed error={error}"),
        }
    }
}

/// Returns how long the leases of earlier owners may last from when the owner was heard of last. One
/// that handed its ownership back had granted its last lease before, and tells what it inherited; one
/// that fell silent may go on until the longest lease has ended.
fn longest_lease(
    handed_back: Option<Duration>,
    own_lease: Duration,
    max_lease: Duration,
) -> Duration {
    let lease = handed_back.map_or(max_lease, |inherited| inherited.max(own_lease));
    lease.mul_f64(LEASE_SLACK) + LEASE_MARGIN
}

async fn take_over(node: &Rc<Node>, watch: &mut Watch, last: &OwnerBelief) {
    let fencing_number = last.fencing_number.next();
    let me = Holder {
        entry: node.settings.entry.clone(),
        address: node.settings.peers,
        incarnation: node.incarnation,
    };
    let owner_row = OwnerRow {
        fencing_number: fencing_number.get(),
        holder: Some(HolderMessage::from(&me)),
        inherited_ms: 0,
    };
    let renewal = renewal_write(fencing_number, BootTime::default(), MIN_TENURE);
    let transaction = Transaction {
        expected: vec![
            (cell_row(OWNER_KEY), watch.owner_row),
            (cell_row(RENEWAL_KEY), watch.renewal_row),
        ],
        writes: vec![(cell_row(OWNER_KEY), owner_row.encode_to_vec()), renewal],
        removed: Vec::new(),
    };
    let sent_at = node.now();
    match node.store.commit(&transaction).await {
        Ok(CommitOutcome::Stored(version)) => {
            let silent_for = sent_at.since(watch.heard_at);
            log::info!("event=ownership_gained fence={fencing_number} silent_for={silent_for:?}");
            node.accept_belief(fencing_number, Some(me));
            let own_lease = node.settings.scheduler().lease;
            let longest = longest_lease(watch.handed_back, own_lease, node.settings.max_lease());
            let inherited_until = watch.heard_at + longest;
            let owner = Owner::new(node, fencing_number, version, sent_at, MIN_TENURE);
            owner::start(node, owner, inherited_until).await;
        }
        Ok(CommitOutcome::Conflict(_)) => log::debug!("event=takeover_lost fence={fencing_number}"),
        Err(error) => log::warn!("event=takeover_failed fence={fencing_number} error={error}"),
    }
}

/// Gives the ownership back before a planned stop, so that another entry takes it at once.
pub(crate) async fn hand_back(node: &Rc<Node>) {
    let Some(owner) = node.owner.borrow().clone() else {
        return;
    };
    owner.close().await;
    let now = node.now();
    // No lease is granted after this: the next owner counts from when it sees the row.
    node.drop_ownership("handed_back");
    let inherited = owner.with(|scheduler| scheduler.inherited_leases_remaining(now));
    let row = OwnerRow {
        fencing_number: owner.fencing_number().get(),
        holder: None,
        inherited_ms: inherited.as_millis() as u64,
    };
    let transaction = Transaction {
        writes: vec![(cell_row(OWNER_KEY), row.encode_to_vec())],
        ..owner_transaction(&owner)
    };
    match node.store.commit(&transaction).await {
        Ok(_) => node.accept_belief(owner.fencing_number(), None),
        Err(error) => log::warn!("event=hand_back_failed error={error}"),
    }
}

fn cell_row(key: &str) -> RowKey {
    RowKey::new(CELL_TABLE, CELL_PART, key)
}

/// Returns a transaction without writes that takes effect only while this is still the owner.
pub(crate) fn owner_transaction(owner: &Owner) -> Transaction {
    Transaction {
        expected: vec![(cell_row(OWNER_KEY), Some(owner.owner_row()))],
        ..Transaction::default()
    }
}

#[cfg(test)]
mod tests;
