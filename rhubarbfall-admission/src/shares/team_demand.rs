use rhubarbfall_core::{LiteMap, TeamId};
use serde::{Deserialize, Serialize};

/// One team's demand for one service at an entry, in a zone or in the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The slots in use by the team's requests.
    pub running_slots: u32,
    /// The number of waiting requests, each of which needs one slot.
    pub waiting_requests: u32,
}

impl TeamDemand {
    /// Returns the slots that the team could use: running plus waiting.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.running_slots.saturating_add(self.waiting_requests)
    }
}

/// The capacity of one service at an entry, in a zone or in the fleet, and each team's demand.
///
/// # Examples
///
/// ```
/// use rhubarbfall_admission::{ServiceDemand, TeamDemand};
///
/// let mut demand = ServiceDemand::default();
/// let team = TeamDemand { running_slots: 2, waiting_requests: 1 };
/// demand.add(&"house-a".parse()?, team);
/// demand.add(&"house-a".parse()?, team);
/// assert_eq!(demand.team(&"house-a".parse()?).slots(), 6);
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The slots of the upstreams that accept work.
    pub capacity_slots: u32,
    /// The teams with running or waiting requests.
    pub teams: LiteMap<TeamId, TeamDemand>,
}

impl ServiceDemand {
    /// Returns one team's demand, zero if the team has none.
    #[must_use]
    pub fn team(&self, team: &TeamId) -> TeamDemand {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Adds to one team's demand.
    pub fn add(&mut self, team: &TeamId, demand: TeamDemand) {
        if let Some(sum) = self.teams.get_mut(team) {
            sum.running_slots += demand.running_slots;
            sum.waiting_requests += demand.waiting_requests;
        } else {
            self.teams.insert(team.clone(), demand);
        }
    }

    /// Adds the demand and the capacity of `other`.
    pub fn add_all(&mut self, other: &Self) {
        self.capacity_slots += other.capacity_slots;
        for (team, demand) in other.teams.iter() {
            self.add(team, *demand);
        }
    }
}
