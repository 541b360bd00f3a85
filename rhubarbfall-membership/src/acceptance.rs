use std::time::Instant;

use rhubarbfall_core::{AvailabilityZoneId, EntryId, LiteMap};

use crate::MembershipConfig;
use crate::freshness::evidence::MIN_ZONES_FOR_EXCLUSION;

/// What an acceptor does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptanceStep {
    /// Wait for answers until this moment.
    Wait(Instant),
    /// Record the change in the table now.
    Commit,
    /// Give the change up: it is not proved that every entry will learn of it in time.
    Refuse,
}

/// The announcement of one change, from the intent to the decision to record it.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use rhubarbfall_membership::{Acceptance, AcceptanceStep, MembershipConfig};
///
/// let now = Instant::now();
/// let alone = Acceptance::new(MembershipConfig::new(), "zone-a".parse()?, now, []);
/// assert_eq!(alone.step(now), AcceptanceStep::Commit);
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Acceptance {
    config: MembershipConfig,
    zone: AvailabilityZoneId,
    announced: Instant,
    members: LiteMap<EntryId, Answer>,
}

#[derive(Debug, Clone)]
struct Answer {
    zone: AvailabilityZoneId,
    has_come: bool,
}

impl Acceptance {
    /// Begins with the announcement of an intent to these other members.
    #[must_use]
    pub fn new(
        config: MembershipConfig,
        zone: AvailabilityZoneId,
        now: Instant,
        members: impl IntoIterator<Item = (EntryId, AvailabilityZoneId)>,
    ) -> Self {
        let answer = |zone| Answer {
            zone,
            has_come: false,
        };
        let members = members.into_iter();
        Self {
            config,
            zone,
            announced: now,
            members: members.map(|(entry, zone)| (entry, answer(zone))).collect(),
        }
    }

    /// Records that a member holds the intent.
    pub fn observe_answer(&mut self, entry: &EntryId) {
        if let Some(answer) = self.members.get_mut(entry) {
            answer.has_come = true;
        }
    }

    /// Returns the members that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &EntryId> {
        let silent = self.members.iter().filter(|(_, answer)| !answer.has_come);
        silent.map(|(entry, _)| entry)
    }

    /// Decides what to do now; to be called right before the table write, since the process may
    /// have been paused.
    #[must_use]
    pub fn step(&self, now: Instant) -> AcceptanceStep {
        let patience = self.announced + self.config.intent_answer_timeout;
        let deadline = self.announced + self.config.intent_lifetime;
        if now >= deadline {
            return AcceptanceStep::Refuse;
        }
        if self.unanswered().next().is_none() {
            return AcceptanceStep::Commit;
        }
        if now < patience {
            return AcceptanceStep::Wait(patience);
        }
        if self.is_known_outside_zone() {
            return AcceptanceStep::Commit;
        }
        AcceptanceStep::Refuse
    }

    fn is_known_outside_zone(&self) -> bool {
        let zones = self.members.values().map(|answer| &answer.zone);
        let mut zones: Vec<_> = zones.chain([&self.zone]).collect();
        zones.sort();
        zones.dedup();
        if zones.len() < MIN_ZONES_FOR_EXCLUSION {
            return true;
        }
        let mut answers = self.members.values();
        answers.any(|answer| answer.has_come && answer.zone != self.zone)
    }
}
