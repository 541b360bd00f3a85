use std::time::{Duration, Instant};

use rhubarbfall_core::EntryId;
use rhubarbfall_wire::messages::membership::{Heartbeat, IntentReference, RelayedRead, ZoneReport};

use super::messages::age_ms;
use super::peer_state::PeerState;
use super::state::{Gossip, OutgoingHeartbeat};

impl Gossip {
    /// Returns the heartbeats to the other entries of this entry's zone.
    pub(super) fn own_zone_heartbeats(&self, now: Instant) -> Vec<OutgoingHeartbeat> {
        let zone_reports = if self.is_speaker(now) {
            self.other_zone_reports(now)
        } else {
            Vec::new()
        };
        let zone_peers = self.zones.get(&self.own.zone).into_iter().flatten();
        let zone_peers =
            zone_peers.filter_map(|entry| self.peers.get(entry).map(|peer| (entry, peer)));
        zone_peers
            .map(|(entry, peer)| self.outgoing(now, entry, peer, zone_reports.clone()))
            .collect()
    }

    /// Returns the heartbeats of the speaker to one entry of each other zone.
    pub(super) fn cross_zone_heartbeats(&self, now: Instant) -> Vec<OutgoingHeartbeat> {
        let own_zone = self.zones.iter().enumerate();
        let own_zone = own_zone.filter(|(_, (zone, _))| **zone == self.own.zone);
        let own_reports: Vec<_> = own_zone
            .filter_map(|(index, (_, entries))| self.zone_report(now, index, entries))
            .collect();
        let others = self
            .zones
            .iter()
            .filter(|(zone, _)| **zone != self.own.zone);
        let targets = others.filter_map(|(_, entries)| self.contact_in_zone(now, entries));
        targets
            .map(|(entry, peer)| self.outgoing(now, entry, peer, own_reports.clone()))
            .collect()
    }

    fn outgoing(
        &self,
        now: Instant,
        to: &EntryId,
        peer: &PeerState,
        zones: Vec<ZoneReport>,
    ) -> OutgoingHeartbeat {
        let read = self.freshness.newest_read();
        let heartbeat = Heartbeat {
            stamp_ms: now.saturating_duration_since(self.started).as_millis() as u32,
            echo_ms: peer.last_stamp_ms,
            is_speaker: self.is_speaker(now),
            roster_digest: self.roster_digest,
            report: Some(self.own_report()),
            read: read.map(|(began, revision)| RelayedRead {
                age_ms: age_ms(now, began),
                revision: revision.get(),
            }),
            zones,
        };
        OutgoingHeartbeat {
            to: to.clone(),
            heartbeat,
        }
    }

    fn own_report(&self) -> ZoneReport {
        ZoneReport {
            revision: self.freshness.highest_seen().get(),
            is_unsettled: !self.freshness.is_settled(),
            intents: self.own_intents(),
            ..ZoneReport::default()
        }
    }

    fn own_intents(&self) -> Vec<IntentReference> {
        let ids = self.freshness.intents().keys();
        ids.map(IntentReference::from).collect()
    }

    /// Returns the entry of another zone to send to: its speaker, else its first entry with a
    /// recent report, else each in rotation until one answers.
    fn contact_in_zone<'a>(
        &'a self,
        now: Instant,
        entries: &'a [EntryId],
    ) -> Option<(&'a EntryId, &'a PeerState)> {
        let limit = self.liveness_timeout(now);
        let is_live_speaker = |entry: &&EntryId| {
            let speaker = self.peers.get(entry).filter(|peer| peer.is_speaker);
            let last_heartbeat_at = speaker.and_then(|peer| peer.last_heartbeat_at);
            last_heartbeat_at.is_some_and(|at| now < at + limit)
        };
        let has_recent_report = |entry: &&EntryId| {
            self.report_age(now, entry)
                .is_some_and(|age| age < self.config.max_evidence_age)
        };
        let rotation =
            now.saturating_duration_since(self.started).as_millis() / limit.as_millis().max(1);
        let in_rotation = entries.get(rotation as usize % entries.len().max(1));
        let live_speaker = entries.iter().find(is_live_speaker);
        let entry = live_speaker
            .or_else(|| entries.iter().find(has_recent_report))
            .or(in_rotation)?;
        Some((entry, self.peers.get(entry)?))
    }

    fn report_age(&self, now: Instant, entry: &EntryId) -> Option<Duration> {
        let report = self.freshness.latest_report(entry)?;
        Some(now.saturating_duration_since(report.time))
    }

    fn other_zone_reports(&self, now: Instant) -> Vec<ZoneReport> {
        let zones = self.zones.iter().enumerate();
        let others = zones.filter(|(_, (zone, _))| **zone != self.own.zone);
        others
            .filter_map(|(index, (_, entries))| self.zone_report(now, index, entries))
            .collect()
    }

    /// Returns the report of a whole zone, which covers the members with a recent, settled report.
    fn zone_report(
        &self,
        now: Instant,
        zone_index: usize,
        entries: &[EntryId],
    ) -> Option<ZoneReport> {
        let mut summary = ZoneReport {
            zone_index: zone_index as u32,
            ..ZoneReport::default()
        };
        let mut covered = 0;
        for (index, entry) in entries.iter().enumerate() {
            if self.add_to_summary(now, entry, &mut summary) {
                covered += 1;
            } else {
                summary.uncovered.push(index as u32);
                if self.has_same_roster(entry) {
                    summary.with_same_roster.push(index as u32);
                }
            }
        }
        (covered > 0 || !summary.with_same_roster.is_empty()).then_some(summary)
    }

    /// Returns whether an entry is known to have the same roster as this one.
    fn has_same_roster(&self, entry: &EntryId) -> bool {
        let digest = self.peers.get(entry).map(|peer| peer.roster_digest);
        *entry == self.entry || digest == Some(self.roster_digest)
    }

    /// Adds the report of one member to a summary; returns `false` if there is none to add.
    fn add_to_summary(&self, now: Instant, entry: &EntryId, summary: &mut ZoneReport) -> bool {
        if *entry == self.entry {
            if !self.freshness.is_settled() {
                return false;
            }
            summary.revision = summary.revision.max(self.freshness.highest_seen().get());
            add_intents(summary, self.own_intents());
            return true;
        }
        // A report received under another roster does not show that its sender knows every member.
        let digest = self.peers.get(entry).map(|peer| peer.roster_digest);
        let has_same_roster = digest == Some(self.roster_digest);
        let report = self
            .freshness
            .latest_report(entry)
            .filter(|report| report.is_settled && has_same_roster);
        let Some(report) = report else { return false };
        let age_ms = age_ms(now, report.time);
        if u128::from(age_ms) > self.config.max_evidence_age.as_millis() {
            return false;
        }
        summary.age_ms = summary.age_ms.max(age_ms);
        summary.revision = summary.revision.max(report.revision.get());
        let intents = report.intents.iter().map(IntentReference::from);
        add_intents(summary, intents.collect());
        true
    }
}

fn add_intents(summary: &mut ZoneReport, intents: Vec<IntentReference>) {
    for intent in intents {
        if !summary.intents.contains(&intent) {
            summary.intents.push(intent);
        }
    }
}
