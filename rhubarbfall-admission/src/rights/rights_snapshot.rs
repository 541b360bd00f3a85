use std::time::Instant;

use rhubarbfall_core::{EntryId, LiteMap, TeamId};
use serde::Serialize;

use super::team_rights::TeamRights;

/// The rights of one entry, for the process's dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RightsSnapshot {
    /// The teams that the entry knows.
    pub teams: LiteMap<TeamId, TeamRightsSnapshot>,
}

/// The rights of one team, for the process's dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TeamRightsSnapshot {
    /// The upper limit in force.
    pub limit_slots: u32,
    /// The slots that the entry owns.
    pub owned_slots: u32,
    /// The slots that work holds, borrowed ones included.
    pub running_slots: u32,
    /// The requests that wait.
    pub waiting_requests: u32,
    /// Whether a write to the ledger is under way.
    pub has_pending_write: bool,
    /// The slots of every entry together, by the last reading of the ledger.
    pub granted_slots: u32,
    /// The slots that are borrowed, by lender.
    pub borrowed_slots: Vec<(EntryId, u32)>,
    /// The slots that are lent, by borrower.
    pub lent_slots: Vec<(EntryId, u32)>,
}

impl TeamRightsSnapshot {
    pub(crate) fn new(team: &TeamRights, now: Instant) -> Self {
        let borrowed = team
            .borrowed
            .iter()
            .map(|loan| (loan.lender.clone(), loan.valid_slots(now)));
        let lent = team
            .lent
            .iter()
            .map(|lent| (lent.borrower.clone(), lent.slots));
        Self {
            limit_slots: team.limit,
            owned_slots: team.owned,
            running_slots: team.running(),
            waiting_requests: team.waiting,
            has_pending_write: team.pending_write.is_some(),
            granted_slots: team.granted_total,
            borrowed_slots: borrowed.filter(|(_, slots)| *slots > 0).collect(),
            lent_slots: lent.filter(|(_, slots)| *slots > 0).collect(),
        }
    }
}
