use std::time::{Duration, Instant};

use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation, LiteMap};
use rhubarbfall_wire::messages::membership::Heartbeat;

use super::peer_state::PeerState;
use crate::{Freshness, Member, MembershipConfig};

/// A heartbeat to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// Entry that receives the heartbeat.
    pub to: EntryId,
    /// Message to send.
    pub heartbeat: Heartbeat,
}

/// One entry's state machine for the heartbeats among entries.
///
/// Within a zone every entry sends to every other. Between zones only the speakers send, each a
/// summary of its zone, and they relay the summaries of other zones within their own. The speaker
/// of a zone is its first live entry in the order of identifiers.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use rhubarbfall_core::Incarnation;
/// use rhubarbfall_membership::{Gossip, Member, MembershipConfig};
///
/// let now = Instant::now();
/// let member = Member {
///     zone: "zone-a".parse()?,
///     incarnation: Incarnation::new(1),
///     address: ([127, 0, 0, 1], 7000).into(),
/// };
/// let mut gossip = Gossip::new(MembershipConfig::new(), "entry-1".parse()?, member, now);
/// assert!(gossip.is_speaker(now));
/// assert!(gossip.tick(now).is_empty());
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Gossip {
    pub(super) config: MembershipConfig,
    pub(super) entry: EntryId,
    pub(super) own: Member,
    pub(super) started: Instant,
    pub(super) freshness: Freshness,
    pub(super) peers: LiteMap<EntryId, PeerState>,
    /// Removed members, so that a peer's older roster does not add them again.
    pub(super) removed: LiteMap<EntryId, Incarnation>,
    pub(super) roster_digest: u64,
    /// Entries of each zone in sorted order, this one included.
    pub(super) zones: LiteMap<AvailabilityZoneId, Vec<EntryId>>,
    pub(super) next_tick: Instant,
}

impl Gossip {
    /// Creates the state of a process that starts at `now` and knows no other entry.
    #[must_use]
    pub fn new(config: MembershipConfig, entry: EntryId, own: Member, now: Instant) -> Self {
        let freshness = Freshness::new(config, own.zone.clone(), now);
        let mut gossip = Self {
            config,
            entry,
            own,
            started: now,
            freshness,
            peers: LiteMap::new(),
            removed: LiteMap::new(),
            roster_digest: 0,
            zones: LiteMap::new(),
            next_tick: now,
        };
        gossip.update_roster_state();
        gossip
    }

    /// Returns the evidence on the age of this process's configuration.
    #[must_use]
    pub const fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Returns the evidence on the age of this process's configuration for updating.
    pub const fn freshness_mut(&mut self) -> &mut Freshness {
        &mut self.freshness
    }

    /// Returns the other members.
    pub fn members(&self) -> impl Iterator<Item = (&EntryId, &Member)> {
        let peers = self.peers.iter();
        peers.map(|(entry, peer)| (entry, &peer.member))
    }

    /// Returns whether every member is known to have had this process in its roster.
    ///
    /// Until then the process must neither accept changes nor answer intents, since other entries
    /// would not notice that its report is missing.
    #[must_use]
    pub fn is_admitted(&self) -> bool {
        self.peers.values().all(|peer| peer.has_admitted)
    }

    /// Returns whether a member has reported, directly or by a relayed report, recently enough to
    /// count as live; a member that has never reported counts as live for a while after the start.
    #[must_use]
    pub fn is_live(&self, entry: &EntryId, now: Instant) -> bool {
        let Some(peer) = self.peers.get(entry) else {
            return false;
        };
        let last_report = self
            .freshness
            .latest_report(entry)
            .map(|report| report.time);
        let limit = if peer.member.zone == self.own.zone {
            self.liveness_timeout(now)
        } else {
            self.config.max_evidence_age
        };
        let last = peer
            .last_heartbeat_at
            .max(last_report)
            .unwrap_or(self.started);
        now.saturating_duration_since(last) < limit
    }

    /// Returns whether this process is the speaker of its zone.
    #[must_use]
    pub fn is_speaker(&self, now: Instant) -> bool {
        let earlier = self
            .peers
            .iter()
            .take_while(|(entry, _)| **entry < self.entry);
        let mut earlier = earlier.filter(|(_, peer)| peer.member.zone == self.own.zone);
        !earlier.any(|(entry, _)| self.is_live(entry, now))
    }

    /// Returns the time at which the next heartbeats are due.
    #[must_use]
    pub const fn next_tick(&self) -> Instant {
        self.next_tick
    }

    /// Brings the next heartbeats forward so that a change spreads at once; in a burst of changes
    /// they are at most four times as frequent.
    pub fn expedite_heartbeats(&mut self, now: Instant) {
        let interval = self.current_heartbeat_interval(now);
        let last = self.next_tick.checked_sub(interval).unwrap_or(now);
        let earliest = now.max(last + interval / 4);
        self.next_tick = self.next_tick.min(earliest);
    }

    /// Returns the heartbeats that are due at `now` and schedules the next ones.
    pub fn tick(&mut self, now: Instant) -> Vec<OutgoingHeartbeat> {
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + self.current_heartbeat_interval(now);
        self.freshness.update_settled();
        let mut outgoing = self.own_zone_heartbeats(now);
        if self.is_speaker(now) {
            outgoing.extend(self.cross_zone_heartbeats(now));
        }
        outgoing
    }

    /// Returns the configured interval while heartbeats are the only evidence because the table
    /// does not answer, otherwise twice that, which makes heartbeats half as frequent.
    fn current_heartbeat_interval(&self, now: Instant) -> Duration {
        let max_age = self.config.max_read_age * 2;
        let read = self.freshness.newest_read();
        let is_read_fresh = read.is_some_and(|(began, _)| now < began + max_age);
        self.config.heartbeat_interval * if is_read_fresh { 2 } else { 1 }
    }

    /// Returns how long an entry of the same zone may stay silent and count as live: two heartbeats
    /// may be lost.
    pub(super) fn liveness_timeout(&self, now: Instant) -> Duration {
        self.current_heartbeat_interval(now) * 5 / 2
    }
}
