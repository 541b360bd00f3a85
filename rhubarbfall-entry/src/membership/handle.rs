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

/// How long a newer document may take to come from a peer before it is read from the table.
const PEER_PATIENCE: Duration = Duration::from_secs(3);

/// What this process knows of the others, shared by its threads.
///
/// Nothing is known before the control thread has started the peer network.
#[derive(Default)]
pub struct Membership {
    pub(super) started: OnceLock<Started>,
    valid_until: Mutex<Option<Instant>>,
    /// What held intents take away; absent when none is held.
    narrowing: ArcSwapOption<Revocations>,
}

/// The state after the start.
pub(super) struct Started {
    pub(super) network: PeerNetwork,
    pub(super) state: Mutex<State>,
}

pub(super) struct State {
    pub(super) gossip: Gossip,
    pub(super) lease: ZoneLease,
    /// The changes that this process has announced and not yet decided on.
    pub(super) announced: Vec<(IntentId, ChangeAnnouncement)>,
    pub(super) next_intent: u64,
    /// Since when a newer document is known than the one in force.
    pub(super) behind_since: Option<Instant>,
    /// The latest steps of the document, for peers that are behind.
    pub(super) deltas: DeltaLog,
    /// Whether a later process runs on this VM.
    pub(super) is_superseded: bool,
}

/// What the state dump shows of membership.
#[derive(Debug, Serialize)]
pub struct MembershipSnapshot {
    /// The entries that are taken for alive, this one left out.
    pub live: Vec<EntryId>,
    /// The entries that are known, this one left out.
    pub known: usize,
    /// Whether this entry speaks for its zone.
    pub is_speaker: bool,
    /// Whether every member is known to know this one.
    pub is_admitted: bool,
    /// Whether the process vouches for what its predecessors answered.
    pub is_settled: bool,
    /// The age of the evidence that the document in force is the newest.
    pub evidence_age_ms: Option<u64>,
    /// The intents that are held.
    pub intents: usize,
    /// The holder of the zone's lease, as last read.
    pub lease_holder: Option<EntryId>,
    /// The fencing number while this process holds the lease.
    pub fencing: Option<FencingNumber>,
}

impl Membership {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the connections to the other entries, once they are started.
    #[must_use]
    pub fn network(&self) -> Option<&PeerNetwork> {
        self.started.get().map(|started| &started.network)
    }

    /// Returns the fencing number while this process holds the zone's lease; to be asked right
    /// before each act of the holder.
    #[must_use]
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        self.with(|state| state.lease.fencing(now))?
    }

    /// Returns the entry that last held the zone's lease.
    #[must_use]
    pub fn lease_holder(&self) -> Option<EntryId> {
        self.with(|state| state.lease.holder().cloned())?
    }

    /// Returns whether the document in force is proved to have been the newest within the bound.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.valid_until.lock().is_some_and(|until| now < until)
    }

    /// Returns whether a change in doubt takes away this key, or the queue from its team.
    #[must_use]
    pub fn forbids(&self, pepper: &Pepper, key: &str, queue: &QueueId, team: &TeamId) -> bool {
        let narrowing = self.narrowing.load();
        let narrowing = narrowing.as_ref();
        narrowing.is_some_and(|narrowing| narrowing.forbids(&digest_key(pepper, key), queue, team))
    }

    /// Takes in a read of the table that began at `began`.
    pub fn observe_read(&self, began: Instant, revision: Revision) {
        self.with(|state| state.gossip.freshness_mut().observe_read(began, revision));
    }

    /// Takes in that a document is in force in place of an earlier one, and tells the others.
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

    /// Returns whether a document that is behind should still come from a peer, which sends only
    /// what changed.
    #[must_use]
    pub fn may_wait_for_peers(&self, now: Instant) -> bool {
        let may_wait = self.with(|state| {
            let since = *state.behind_since.get_or_insert(now);
            state.gossip.members().next().is_some() && now < since + PEER_PATIENCE
        });
        may_wait.unwrap_or(false)
    }

    /// Copies the state for people and for tests.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Option<MembershipSnapshot> {
        self.with(|state| {
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

    /// Changes the state and publishes what follows for the traffic threads.
    pub(super) fn update<T>(
        &self,
        now: Instant,
        change: impl FnOnce(&mut State) -> T,
    ) -> Option<T> {
        let started = self.started.get()?;
        let mut state = started.state.lock();
        let result = change(&mut state);
        let freshness = state.gossip.freshness();
        let valid_until = freshness.valid_until(now).filter(|_| !state.is_superseded);
        *self.valid_until.lock() = valid_until;
        let held = freshness.intents().values();
        let held = held.filter_map(|intent| Revocations::decode(&intent.change));
        let narrowing = held.fold(Revocations::default(), |all, one| all.merge(&one));
        let narrowing = (!narrowing.is_empty()).then(|| Arc::new(narrowing));
        if narrowing.is_some() || self.narrowing.load().is_some() {
            self.narrowing.store(narrowing);
        }
        Some(result)
    }

    fn with<T>(&self, read: impl FnOnce(&mut State) -> T) -> Option<T> {
        let started = self.started.get()?;
        Some(read(&mut started.state.lock()))
    }
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership").finish_non_exhaustive()
    }
}

/// The content of a zone's lease row, for those who read it from the table.
pub(super) fn parse_lease(row: &rhubarbfall_platform::table::Row) -> Option<LeaseRow> {
    row.parse().ok()
}
