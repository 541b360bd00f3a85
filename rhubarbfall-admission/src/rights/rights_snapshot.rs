use std::time::Instant;

use rhubarbfall_core::{EntryId, LiteMap, TeamId};
use serde::Serialize;

use super::team_rights::TeamRights;

/// The rights of one entry in the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RightsSnapshot {
    /// The rights by team, for all teams that the entry knows.
    pub teams: LiteMap<TeamId, TeamRightsSnapshot>,
}

/// The rights of one team at one entry in the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TeamRightsSnapshot {
    /// The team's upper limit in force.
    pub limit_slots: u32,
    /// The slots that the entry owns, lent ones included.
    pub owned_slots: u32,
    /// The slots in use by requests, borrowed ones included.
    pub running_slots: u32,
    /// The number of waiting requests.
    pub waiting_requests: u32,
    /// Whether a ledger write is in progress.
    pub has_pending_write: bool,
    /// The slots granted to all entries together, as of the last read of the ledger row.
    pub granted_slots: u32,
    /// The borrowed slots by lender, without expired loans.
    pub borrowed_slots: Vec<(EntryId, u32)>,
    /// The lent slots by borrower.
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
