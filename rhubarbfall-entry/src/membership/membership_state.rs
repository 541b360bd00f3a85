use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use rhubarbfall_core::{EntryId, FencingNumber, QueueId, Revision, TeamId};
use rhubarbfall_document::{Document, Pepper, digest_key};
use rhubarbfall_membership::{
    ChangeAnnouncement, DeltaLog, Gossip, IntentId, LeaseRow, Revocations, ZoneLease,
};
use rhubarbfall_wire::PeerNetwork;
use serde::Serialize;

/// How long this process waits for a peer to send a newer document before it reads the table.
const PEER_DOCUMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// This process's view of the other entries, shared by its threads.
///
/// Empty until the control thread has started the peer network.
#[derive(Default)]
pub struct Membership {
    pub(super) started: OnceLock<StartedMembership>,
    valid_until: Mutex<Option<Instant>>,
    /// Revocations of the held intents; `None` if there are none.
    revocations: ArcSwapOption<Revocations>,
}

/// State once the peer network is started.
pub(super) struct StartedMembership {
    pub(super) network: PeerNetwork,
    pub(super) state: Mutex<MembershipState>,
}

pub(super) struct MembershipState {
    pub(super) gossip: Gossip,
    pub(super) lease: ZoneLease,
    /// Changes that this process has announced and not yet decided on.
    pub(super) announcements: Vec<(IntentId, ChangeAnnouncement)>,
    pub(super) next_intent_number: u64,
    /// When a newer document than the one in force became known.
    pub(super) behind_since: Option<Instant>,
    /// Latest deltas of the document, for peers that are behind.
    pub(super) deltas: DeltaLog,
    /// Whether a later process runs on this VM.
    pub(super) is_superseded: bool,
}

/// Membership of one entry as serialised into the state dump.
#[derive(Debug, Serialize)]
pub struct MembershipSnapshot {
    /// Other entries that are considered live.
    pub live: Vec<EntryId>,
    /// Number of other known entries.
    pub known: usize,
    /// Whether this entry is the speaker of its zone.
    pub is_speaker: bool,
    /// Whether every member is known to have this entry in its roster.
    pub is_admitted: bool,
    /// Whether the process knows of every intent that its predecessors on the VM answered.
    pub is_settled: bool,
    /// Age of the evidence that the document in force is the newest, in milliseconds.
    pub evidence_age_ms: Option<u64>,
    /// Number of held intents.
    pub intents: usize,
    /// Holder of the zone's lease, as last read.
    pub lease_holder: Option<EntryId>,
    /// Fencing number, while this process holds the lease.
    pub fencing: Option<FencingNumber>,
}

impl Membership {
    /// Creates the state of a process that has not started its peer network.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the peer network, or `None` before it is started.
    #[must_use]
    pub fn network(&self) -> Option<&PeerNetwork> {
        self.started.get().map(|started| &started.network)
    }

    /// Returns the fencing number while this process holds the zone's lease.
    ///
    /// The lease holder has to check it immediately before each of its actions.
    #[must_use]
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        self.with_state(|state| state.lease.fencing(now))?
    }

    /// Returns the last known holder of the zone's lease.
    #[must_use]
    pub fn lease_holder(&self) -> Option<EntryId> {
        self.with_state(|state| state.lease.holder().cloned())?
    }

    /// Returns whether the document in force is proven to have been the newest within the freshness
    /// bound.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.valid_until.lock().is_some_and(|until| now < until)
    }

    /// Returns whether a held intent revokes this key, or the team's access to this queue.
    #[must_use]
    pub fn forbids(&self, pepper: &Pepper, key: &str, queue: &QueueId, team: &TeamId) -> bool {
        let revocations = self.revocations.load();
        let revocations = revocations.as_ref();
        revocations
            .is_some_and(|revocations| revocations.forbids(&digest_key(pepper, key), queue, team))
    }

    /// Records that a table read which began at `began` found `revision` as the newest.
    pub fn observe_read(&self, began: Instant, revision: Revision) {
        self.with_state(|state| state.gossip.freshness_mut().observe_read(began, revision));
    }

    /// Records that `after` has replaced `before` as the document in force, and brings the next
    /// heartbeats forward to announce it.
    pub fn put_in_force(&self, now: Instant, before: Option<&Document>, after: &Document) {
        self.update(now, |state| {
            state.gossip.freshness_mut().put_in_force(after.revision);
            state.gossip.expedite_heartbeats(now);
            state.behind_since = None;
            if let Some(before) = before {
                state.deltas.record(before, after);
            }
        });
    }

    /// Returns whether to wait for a peer to send a newer document; a peer sends only the changes.
    #[must_use]
    pub fn may_wait_for_peers(&self, now: Instant) -> bool {
        let may_wait = self.with_state(|state| {
            let since = *state.behind_since.get_or_insert(now);
            state.gossip.members().next().is_some() && now < since + PEER_DOCUMENT_TIMEOUT
        });
        may_wait.unwrap_or(false)
    }

    /// Copies the state for the state dump; returns `None` before the peer network is started.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Option<MembershipSnapshot> {
        self.with_state(|state| {
            let gossip = &state.gossip;
            let freshness = gossip.freshness();
            let known: Vec<_> = gossip.members().map(|(entry, _)| entry.clone()).collect();
            let age = freshness.evidence_age(now);
            MembershipSnapshot {
                known: known.len(),
                live: known
                    .into_iter()
                    .filter(|entry| gossip.is_live(entry, now))
                    .collect(),
                is_speaker: gossip.is_speaker(now),
                is_admitted: gossip.is_admitted(),
                is_settled: freshness.is_settled(),
                evidence_age_ms: age.map(|age| age.as_millis() as u64),
                intents: freshness.intents().len(),
                lease_holder: state.lease.holder().cloned(),
                fencing: state.lease.fencing(now),
            }
        })
    }

    /// Changes the state, and publishes the freshness limit and the revocations to the traffic
    /// threads.
    pub(super) fn update<T>(
        &self,
        now: Instant,
        change: impl FnOnce(&mut MembershipState) -> T,
    ) -> Option<T> {
        let started = self.started.get()?;
        let mut state = started.state.lock();
        let result = change(&mut state);
        let freshness = state.gossip.freshness();
        let valid_until = freshness.valid_until(now).filter(|_| !state.is_superseded);
        *self.valid_until.lock() = valid_until;
        let held = freshness.intents().values();
        let held = held.filter_map(|intent| Revocations::decode(&intent.change));
        let revocations = held.fold(Revocations::default(), |all, one| all.merge(&one));
        let revocations = (!revocations.is_empty()).then(|| Arc::new(revocations));
        if revocations.is_some() || self.revocations.load().is_some() {
            self.revocations.store(revocations);
        }
        Some(result)
    }

    fn with_state<T>(&self, read: impl FnOnce(&mut MembershipState) -> T) -> Option<T> {
        let started = self.started.get()?;
        Some(read(&mut started.state.lock()))
    }
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership").finish_non_exhaustive()
    }
}

/// Parses a row of the table as a zone's lease; returns `None` if it is malformed.
pub(super) fn parse_lease_row(row: &rhubarbfall_platform::table::Row) -> Option<LeaseRow> {
    row.parse().ok()
}
