use std::time::Instant;

use rhubarbfall_core::{AvailabilityZoneId, EntryId};
use rhubarbfall_wire::messages::membership::{Heartbeat, IntentReference, RelayedRead, ZoneWord};

use super::messages::age_ms;
use super::peer_state::PeerState;
use super::state::{Gossip, Outgoing};

impl Gossip {
    /// Returns the heartbeats to the entries of the own zone.
    pub(super) fn zone_heartbeats(&self, now: Instant) -> Vec<Outgoing> {
        let zones = if self.is_speaker(now) {
            self.other_zone_words(now)
        } else {
            Vec::new()
        };
        let peers = self.peers.iter();
        let near = peers.filter(|(_, peer)| peer.member.zone == self.own.zone);
        near.map(|(entry, peer)| self.outgoing(now, entry, peer, zones.clone()))
            .collect()
    }

    /// Returns the heartbeats to one entry of each other zone.
    pub(super) fn speaker_heartbeats(&self, now: Instant) -> Vec<Outgoing> {
        let own: Vec<_> = self.zone_word(now, &self.own.zone).into_iter().collect();
        let zones = self.zones().into_iter();
        let others = zones.filter(|zone| **zone != self.own.zone);
        let targets = others.filter_map(|zone| self.speaker_of(now, zone));
        targets
            .map(|(entry, peer)| self.outgoing(now, entry, peer, own.clone()))
            .collect()
    }

    fn outgoing(
        &self,
        now: Instant,
        to: &EntryId,
        peer: &PeerState,
        zones: Vec<ZoneWord>,
    ) -> Outgoing {
        let read = self.freshness.newest_read();
        let heartbeat = Heartbeat {
            stamp_ms: now.saturating_duration_since(self.started).as_millis() as u32,
            echo_ms: peer.last_stamp_ms,
            is_speaker: self.is_speaker(now),
            roster_digest: self.roster_digest,
            word: Some(self.own_word()),
            read: read.map(|(began, revision)| RelayedRead {
                age_ms: age_ms(now, began),
                revision: revision.get(),
            }),
            zones,
        };
        Outgoing {
            to: to.clone(),
            heartbeat,
        }
    }

    fn own_word(&self) -> ZoneWord {
        ZoneWord {
            revision: self.freshness.highest_seen().get(),
            is_unsettled: !self.freshness.is_settled(),
            intents: self.own_intents(),
            ..ZoneWord::default()
        }
    }

    fn own_intents(&self) -> Vec<IntentReference> {
        let ids = self.freshness.intents().keys();
        ids.map(IntentReference::from).collect()
    }

    /// Returns the entry of another zone to talk to: its speaker, or each in turn until one answers.
    fn speaker_of(
        &self,
        now: Instant,
        zone: &AvailabilityZoneId,
    ) -> Option<(&EntryId, &PeerState)> {
        let peers = self.peers.iter();
        let entries: Vec<_> = peers
            .filter(|(_, peer)| peer.member.zone == *zone)
            .collect();
        let has_spoken = |peer: &PeerState| {
            let heard = peer.last_heard.filter(|_| peer.is_speaker);
            heard.is_some_and(|heard| now < heard + self.config.silence_timeout)
        };
        let speaker = entries.iter().find(|(_, peer)| has_spoken(peer));
        if let Some(speaker) = speaker {
            return Some(*speaker);
        }
        let tries = now.saturating_duration_since(self.started).as_millis()
            / self.config.silence_timeout.as_millis().max(1);
        let index = tries as usize % entries.len().max(1);
        entries.get(index).copied()
    }

    fn other_zone_words(&self, now: Instant) -> Vec<ZoneWord> {
        let zones = self.zones().into_iter();
        let others = zones.filter(|zone| **zone != self.own.zone);
        others
            .filter_map(|zone| self.zone_word(now, zone))
            .collect()
    }

    /// Returns one word for a whole zone; it covers the members with a recent and settled word.
    fn zone_word(&self, now: Instant, zone: &AvailabilityZoneId) -> Option<ZoneWord> {
        let zone_index = self.zones().binary_search(&zone).ok()?;
        let mut summary = ZoneWord {
            zone_index: zone_index as u32,
            ..ZoneWord::default()
        };
        let mut covered = 0;
        for (index, entry) in self.entries_of(zone).into_iter().enumerate() {
            if self.cover(now, entry, &mut summary) {
                covered += 1;
            } else {
                summary.uncovered.push(index as u32);
            }
        }
        (covered > 0).then_some(summary)
    }

    /// Adds the word of one member to a summary; returns false when there is none to add.
    fn cover(&self, now: Instant, entry: &EntryId, summary: &mut ZoneWord) -> bool {
        if *entry == self.entry {
            if !self.freshness.is_settled() {
                return false;
            }
            summary.revision = summary.revision.max(self.freshness.highest_seen().get());
            add_intents(summary, self.own_intents());
            return true;
        }
        // A word learned under another roster does not show that its speaker knows every member.
        let digest = self.peers.get(entry).map(|peer| peer.roster_digest);
        let is_aware = digest == Some(self.roster_digest);
        let word = self
            .freshness
            .word(entry)
            .filter(|word| word.is_settled && is_aware);
        let Some(word) = word else { return false };
        let age_ms = age_ms(now, word.time);
        if u128::from(age_ms) > self.config.evidence_bound.as_millis() {
            return false;
        }
        summary.age_ms = summary.age_ms.max(age_ms);
        summary.revision = summary.revision.max(word.revision.get());
        let intents = word.intents.iter().map(IntentReference::from);
        add_intents(summary, intents.collect());
        true
    }

    /// Returns the entries of a zone in order, this one included.
    pub(super) fn entries_of(&self, zone: &AvailabilityZoneId) -> Vec<&EntryId> {
        let members = self.members().chain([(&self.entry, &self.own)]);
        let near = members.filter(|(_, member)| member.zone == *zone);
        let mut entries: Vec<_> = near.map(|(entry, _)| entry).collect();
        entries.sort();
        entries
    }
}

fn add_intents(summary: &mut ZoneWord, intents: Vec<IntentReference>) {
    for intent in intents {
        if !summary.intents.contains(&intent) {
            summary.intents.push(intent);
        }
    }
}
