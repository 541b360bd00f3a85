use std::time::{Duration, Instant};

use rhubarbfall_core::{EntryId, Incarnation, Revision};
use rhubarbfall_wire::messages::membership::{Heartbeat, ZoneReport};

use super::state::Gossip;
use crate::{IntentId, MemberReport};

/// Actions that a received heartbeat requires.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// The sender has a different roster; send it this process's.
    pub needs_roster: bool,
    /// The sender has a newer document; request it.
    pub has_newer_document: bool,
}

impl Gossip {
    /// Processes a heartbeat. Of one from an unknown entry or another incarnation, only the roster
    /// digest is used.
    pub fn receive(
        &mut self,
        now: Instant,
        sender: &EntryId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let needs_roster = heartbeat.roster_digest != self.roster_digest;
        let Some(peer) = self.peers.get_mut(sender) else {
            return HeartbeatOutcome {
                needs_roster,
                ..HeartbeatOutcome::default()
            };
        };
        if peer.member.incarnation != incarnation {
            return HeartbeatOutcome {
                needs_roster,
                ..HeartbeatOutcome::default()
            };
        }
        // An immediate answer lets both sides date each other's messages one heartbeat earlier.
        if peer.last_heartbeat_at.is_none() {
            self.next_tick = now;
        }
        peer.last_heartbeat_at = Some(now);
        peer.last_stamp_ms = Some(heartbeat.stamp_ms);
        peer.is_speaker = heartbeat.is_speaker;
        peer.roster_digest = heartbeat.roster_digest;
        peer.has_admitted |= !needs_roster;
        if let Some(composed) = self.composed_at(now, heartbeat) {
            self.observe_heartbeat(composed, sender, incarnation, heartbeat, needs_roster);
        }
        let revision = heartbeat
            .report
            .as_ref()
            .map_or(0, |report| report.revision);
        HeartbeatOutcome {
            needs_roster,
            has_newer_document: Some(Revision::new(revision)) > self.freshness.in_force(),
        }
    }

    /// Returns a time on this process's clock before which the message cannot have been composed,
    /// or `None` without a valid echo.
    fn composed_at(&self, now: Instant, heartbeat: &Heartbeat) -> Option<Instant> {
        let echo = Duration::from_millis(u64::from(heartbeat.echo_ms?));
        Some(self.started + echo).filter(|composed| *composed <= now)
    }

    fn observe_heartbeat(
        &mut self,
        composed: Instant,
        sender: &EntryId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        needs_roster: bool,
    ) {
        if let Some(read) = heartbeat.read
            && let Some(began) = subtract_age(composed, read.age_ms)
        {
            self.freshness
                .observe_read(began, Revision::new(read.revision));
        }
        if let Some(report) = &heartbeat.report {
            self.observe_report(composed, sender, incarnation, report);
        }
        if needs_roster {
            return;
        }
        for report in &heartbeat.zones {
            self.observe_zone_report(composed, report);
        }
    }

    /// Records the report of a whole zone; as the rosters are equal, indices denote the same
    /// entries.
    fn observe_zone_report(&mut self, composed: Instant, summary: &ZoneReport) {
        let zone = self.zones.get_indexed(summary.zone_index as usize);
        let Some((_, entries)) = zone.filter(|(zone, _)| **zone != self.own.zone) else {
            return;
        };
        let entries: Vec<EntryId> = entries.clone();
        for index in &summary.with_same_roster {
            let entry = entries.get(*index as usize);
            if let Some(peer) = entry.and_then(|entry| self.peers.get_mut(entry)) {
                peer.has_admitted = true;
                peer.roster_digest = self.roster_digest;
            }
        }
        let covered = entries.into_iter().enumerate();
        let covered = covered.filter(|(index, _)| !summary.uncovered.contains(&(*index as u32)));
        let covered: Vec<EntryId> = covered.map(|(_, entry)| entry).collect();
        let Some(time) = subtract_age(composed, summary.age_ms) else {
            return;
        };
        for entry in covered {
            let Some(peer) = self.peers.get_mut(&entry) else {
                continue;
            };
            peer.has_admitted = true;
            peer.roster_digest = self.roster_digest;
            let incarnation = peer.member.incarnation;
            self.observe_report(time, &entry, incarnation, summary);
        }
    }

    fn observe_report(
        &mut self,
        time: Instant,
        entry: &EntryId,
        incarnation: Incarnation,
        message: &ZoneReport,
    ) {
        let intents = message.intents.iter();
        let Some(intents) = intents.map(IntentId::from_reference).collect() else {
            return;
        };
        let report = MemberReport {
            incarnation,
            time,
            revision: Revision::new(message.revision),
            is_settled: !message.is_unsettled,
            intents,
        };
        self.freshness.observe_report(entry, report);
    }
}

fn subtract_age(moment: Instant, age_ms: u32) -> Option<Instant> {
    moment.checked_sub(Duration::from_millis(u64::from(age_ms)))
}
