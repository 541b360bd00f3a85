use std::time::Instant;

use rhubarbfall_core::{AvailabilityZoneId, EntryId, LiteMap};

use crate::MembershipConfig;
use crate::freshness::evidence::MIN_ZONES_FOR_EXCLUSION;

/// Next step of an acceptor that has announced a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementStep {
    /// Wait for answers until this time.
    Wait(Instant),
    /// Commit the change to the table now.
    Commit,
    /// Abandon the change: it is not proved that every entry will learn of it in time.
    Abandon,
}

/// Announcement of one change, from sending the intent to the decision to commit.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use rhubarbfall_membership::{AnnouncementStep, ChangeAnnouncement, MembershipConfig};
///
/// let now = Instant::now();
/// let announcement = ChangeAnnouncement::new(MembershipConfig::new(), "zone-a".parse()?, now, []);
/// assert_eq!(announcement.step(now), AnnouncementStep::Commit);
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ChangeAnnouncement {
    config: MembershipConfig,
    zone: AvailabilityZoneId,
    announced_at: Instant,
    members: LiteMap<EntryId, MemberAnswer>,
}

#[derive(Debug, Clone)]
struct MemberAnswer {
    zone: AvailabilityZoneId,
    is_received: bool,
}

impl ChangeAnnouncement {
    /// Creates the announcement of an intent that is sent to these other members at `now`.
    #[must_use]
    pub fn new(
        config: MembershipConfig,
        zone: AvailabilityZoneId,
        now: Instant,
        members: impl IntoIterator<Item = (EntryId, AvailabilityZoneId)>,
    ) -> Self {
        let pending_answer = |zone| MemberAnswer {
            zone,
            is_received: false,
        };
        let members = members.into_iter();
        Self {
            config,
            zone,
            announced_at: now,
            members: members
                .map(|(entry, zone)| (entry, pending_answer(zone)))
                .collect(),
        }
    }

    /// Records a member's answer, which confirms that it holds the intent.
    pub fn observe_answer(&mut self, entry: &EntryId) {
        if let Some(answer) = self.members.get_mut(entry) {
            answer.is_received = true;
        }
    }

    /// Returns the members whose answer is missing.
    pub fn unanswered(&self) -> impl Iterator<Item = &EntryId> {
        let unanswered = self
            .members
            .iter()
            .filter(|(_, answer)| !answer.is_received);
        unanswered.map(|(entry, _)| entry)
    }

    /// Returns the next step. Call it right before the table write, since the process may have been
    /// paused after an earlier call.
    #[must_use]
    pub fn step(&self, now: Instant) -> AnnouncementStep {
        let answer_deadline = self.announced_at + self.config.intent_answer_timeout;
        let commit_deadline = self.announced_at + self.config.intent_lifetime;
        if now >= commit_deadline {
            return AnnouncementStep::Abandon;
        }
        if self.unanswered().next().is_none() {
            return AnnouncementStep::Commit;
        }
        if now < answer_deadline {
            return AnnouncementStep::Wait(answer_deadline);
        }
        if self.is_held_outside_zone() {
            return AnnouncementStep::Commit;
        }
        AnnouncementStep::Abandon
    }

    fn is_held_outside_zone(&self) -> bool {
        let zones = self.members.values().map(|answer| &answer.zone);
        let mut zones: Vec<_> = zones.chain([&self.zone]).collect();
        zones.sort();
        zones.dedup();
        if zones.len() < MIN_ZONES_FOR_EXCLUSION {
            return true;
        }
        let mut answers = self.members.values();
        answers.any(|answer| answer.is_received && answer.zone != self.zone)
    }
}
