use std::time::{Duration, Instant};

use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation, LiteMap, Revision};

use super::{Intent, IntentId, MemberReport};
use crate::MembershipConfig;

/// Number of availability zones from which an acceptor needs an answer from another zone, and the
/// reports of one zone may be missing.
///
/// With two zones, this rule would let an isolated zone keep the other from accepting any change.
pub(crate) const MIN_ZONES_FOR_EXCLUSION: usize = 3;

/// Number of concluded intents kept; a burst announces fewer before their outcome is known.
const MAX_CONCLUDED_INTENTS: usize = 256;

/// Decides until when keyed work may be admitted, from evidence that the revision in force is the
/// newest.
///
/// The revision is proved newest at a point in time by a table read that began then, by reports of
/// every member from that time or later, or by such reports of every member outside one of at least
/// three availability zones. The last suffices because an acceptor then commits nothing before an
/// entry of another zone holds its intent.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rhubarbfall_core::Revision;
/// use rhubarbfall_membership::{Freshness, MembershipConfig};
///
/// let now = Instant::now();
/// let zone = "zone-a".parse()?;
/// let mut freshness = Freshness::new(MembershipConfig::new(), zone, now);
/// assert_eq!(freshness.valid_until(now), None);
/// freshness.observe_read(now, Revision::new(7));
/// freshness.put_in_force(Revision::new(7));
/// assert_eq!(freshness.valid_until(now), Some(now + Duration::from_secs(5)));
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Freshness {
    config: MembershipConfig,
    zone: AvailabilityZoneId,
    started: Instant,
    is_settled: bool,
    in_force: Option<Revision>,
    highest_seen: Revision,
    newest_read: Option<TableRead>,
    members: LiteMap<EntryId, MemberEvidence>,
    intents: LiteMap<IntentId, Intent>,
    /// Intents whose outcome is known, oldest first; other entries may still hold them.
    concluded: Vec<IntentId>,
}

/// Table read by this process or relayed by a peer.
#[derive(Debug, Clone, Copy)]
struct TableRead {
    began: Instant,
    revision: Revision,
}

#[derive(Debug, Clone)]
struct MemberEvidence {
    zone: AvailabilityZoneId,
    incarnation: Incarnation,
    report: Option<MemberReport>,
}

impl Freshness {
    /// Creates the state of a process that starts at `now` in this availability zone.
    #[must_use]
    pub fn new(config: MembershipConfig, zone: AvailabilityZoneId, now: Instant) -> Self {
        Self {
            config,
            zone,
            started: now,
            is_settled: false,
            in_force: None,
            highest_seen: Revision::default(),
            newest_read: None,
            members: LiteMap::new(),
            intents: LiteMap::new(),
            concluded: Vec::new(),
        }
    }

    /// Returns the revision in force, or `None` before the first document.
    #[must_use]
    pub const fn in_force(&self) -> Option<Revision> {
        self.in_force
    }

    /// Returns the highest revision that this process has seen in a table read or report.
    #[must_use]
    pub const fn highest_seen(&self) -> Revision {
        self.highest_seen
    }

    /// Returns whether a newer revision than the one in force is known, or none is in force.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.in_force
            .is_none_or(|in_force| in_force < self.highest_seen)
    }

    /// Returns whether this process knows of every intent that its predecessors on the VM answered.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns the intents that this process holds because their outcome is unknown.
    #[must_use]
    pub const fn intents(&self) -> &LiteMap<IntentId, Intent> {
        &self.intents
    }

    /// Puts a revision in force; returns `false` and changes nothing if a newer one is known.
    #[must_use = "a lower revision is not put in force"]
    pub fn try_put_in_force(&mut self, revision: Revision) -> bool {
        if revision < self.highest_seen || Some(revision) < self.in_force {
            return false;
        }
        self.in_force = Some(revision);
        self.highest_seen = revision;
        self.conclude(|intent| intent.revision <= revision);
        true
    }

    /// Puts a revision in force unless a newer one is known.
    pub fn put_in_force(&mut self, revision: Revision) {
        let _ = self.try_put_in_force(revision);
    }

    /// Records a table read, own or relayed, that began at `began` on this process's clock.
    pub fn observe_read(&mut self, began: Instant, revision: Revision) {
        self.highest_seen = self.highest_seen.max(revision);
        let is_newer = self.newest_read.is_none_or(|read| read.began < began);
        if is_newer {
            self.newest_read = Some(TableRead { began, revision });
        }
        // After the settling time the acceptor can no longer commit, and the table shows that it
        // has not done so.
        let settling_time = self.config.settling_time();
        self.conclude(|intent| {
            revision < intent.revision && began >= intent.held_since + settling_time
        });
    }

    /// Returns the start and the revision of the newest table read, own or relayed.
    #[must_use]
    pub fn newest_read(&self) -> Option<(Instant, Revision)> {
        self.newest_read.map(|read| (read.began, read.revision))
    }

    /// Replaces the other members of the fleet; reports of unchanged incarnations are kept.
    pub fn set_members(
        &mut self,
        members: impl IntoIterator<Item = (EntryId, AvailabilityZoneId, Incarnation)>,
    ) {
        let mut old = std::mem::take(&mut self.members);
        for (entry, zone, incarnation) in members {
            let report = old.remove(&entry).and_then(|old| old.report);
            let report = report.filter(|report| report.incarnation == incarnation);
            self.members.insert(
                entry,
                MemberEvidence {
                    zone,
                    incarnation,
                    report,
                },
            );
        }
    }

    /// Records a member's report; a report of another incarnation or an older one is ignored, apart
    /// from its revision.
    pub fn observe_report(&mut self, entry: &EntryId, report: MemberReport) {
        self.highest_seen = self.highest_seen.max(report.revision);
        let Some(member) = self.members.get_mut(entry) else {
            return;
        };
        if report.incarnation != member.incarnation {
            return;
        }
        if member
            .report
            .as_ref()
            .is_none_or(|old| old.time <= report.time)
        {
            member.report = Some(report);
        }
    }

    /// Returns the newest report of a member.
    #[must_use]
    pub fn latest_report(&self, entry: &EntryId) -> Option<&MemberReport> {
        self.members.get(entry)?.report.as_ref()
    }

    /// Holds an intent unless its outcome is known; from now on the caller admits only what both
    /// revisions allow.
    pub fn hold_intent(&mut self, intent: Intent) {
        if self.is_concluded(&intent.id) {
            return;
        }
        if Some(intent.revision) <= self.in_force {
            self.record_concluded(intent.id);
            return;
        }
        if !self.intents.contains_key(&intent.id) {
            self.intents.insert(intent.id.clone(), intent);
        }
    }

    /// Releases an intent that its acceptor has abandoned.
    pub fn release_intent(&mut self, id: &IntentId) {
        self.conclude(|intent| intent.id == *id);
        if !self.is_concluded(id) {
            self.record_concluded(id.clone());
        }
    }

    fn conclude(&mut self, has_outcome: impl Fn(&Intent) -> bool) {
        let concluded = self.intents.values().filter(|intent| has_outcome(intent));
        let concluded: Vec<_> = concluded.map(|intent| intent.id.clone()).collect();
        for id in concluded {
            self.intents.remove(&id);
            self.record_concluded(id);
        }
    }

    fn record_concluded(&mut self, id: IntentId) {
        if self.concluded.len() == MAX_CONCLUDED_INTENTS {
            self.concluded.remove(0);
        }
        self.concluded.push(id);
    }

    fn is_concluded(&self, id: &IntentId) -> bool {
        self.concluded.contains(id)
    }

    fn knows_intent(&self, id: &IntentId) -> bool {
        self.intents.contains_key(id) || self.is_concluded(id)
    }

    /// Returns the intents that members hold and this process does not know, each with a holder.
    #[must_use]
    pub fn missing_intents(&self) -> Vec<(EntryId, IntentId)> {
        let mut missing = Vec::new();
        for (entry, member) in &self.members {
            let held = member.report.iter().flat_map(|report| &report.intents);
            let unknown = held.filter(|id| !self.knows_intent(id));
            missing.extend(unknown.map(|id| (entry.clone(), id.clone())));
        }
        missing
    }

    /// Returns the time until which keyed work may be admitted without newer evidence, or `None` if
    /// it may not be admitted at `now`.
    #[must_use]
    pub fn valid_until(&self, now: Instant) -> Option<Instant> {
        let proved = self.proved_at()?;
        let until = proved + self.config.max_evidence_age;
        (until > now).then_some(until)
    }

    /// Returns the age of the evidence that the revision in force is the newest, or `None` without
    /// evidence.
    #[must_use]
    pub fn evidence_age(&self, now: Instant) -> Option<Duration> {
        self.proved_at()
            .map(|proved| now.saturating_duration_since(proved))
    }

    /// Marks this process as settled if its evidence is recent enough.
    ///
    /// Once the settling time has passed, every intent that a predecessor on the VM answered has
    /// been committed or abandoned; evidence from then on shows which.
    pub fn update_settled(&mut self) {
        let settled_after = self.started + self.config.settling_time();
        self.is_settled |= self
            .proved_at()
            .is_some_and(|proved| proved >= settled_after);
    }

    fn proved_at(&self) -> Option<Instant> {
        let in_force = self.in_force?;
        let by_table_read = self.newest_read.filter(|read| read.revision <= in_force);
        let by_table_read = by_table_read.map(|read| read.began);
        by_table_read.max(self.proved_by_reports(in_force))
    }

    fn proved_by_reports(&self, in_force: Revision) -> Option<Instant> {
        if self.members.is_empty() {
            return None;
        }
        let by_all_members = self.oldest_report_time(in_force, None);
        let zones = self.members.values().map(|member| &member.zone);
        let mut zones: Vec<_> = zones.chain([&self.zone]).collect();
        zones.sort();
        zones.dedup();
        if zones.len() < MIN_ZONES_FOR_EXCLUSION {
            return by_all_members;
        }
        let outside = zones
            .into_iter()
            .map(|zone| self.oldest_report_time(in_force, Some(zone)));
        outside.fold(by_all_members, Option::max)
    }

    /// Returns the time of the oldest report of the members outside `excluded`; `None` if one is
    /// missing, unsettled, or names an intent or revision that this process does not have.
    fn oldest_report_time(
        &self,
        in_force: Revision,
        excluded: Option<&AvailabilityZoneId>,
    ) -> Option<Instant> {
        let excludes_own_zone = excluded == Some(&self.zone);
        if !self.is_settled && !excludes_own_zone {
            return None;
        }
        let mut oldest = None;
        for member in self.members.values() {
            if excluded == Some(&member.zone) {
                continue;
            }
            let report = member.report.as_ref()?;
            let knows_intents = report.intents.iter().all(|id| self.knows_intent(id));
            if !report.is_settled || !knows_intents || report.revision > in_force {
                return None;
            }
            oldest = Some(oldest.map_or(report.time, |time: Instant| time.min(report.time)));
        }
        oldest
    }
}
