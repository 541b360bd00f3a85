use rhubarbfall_core::{LiteMap, TeamId};
use serde::{Deserialize, Serialize};

/// One team's work for one service, at one place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The slots that its work holds.
    pub running_slots: u32,
    /// The requests that wait.
    pub waiting_requests: u32,
}

impl TeamDemand {
    /// Returns the slots that the team could use.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.running_slots.saturating_add(self.waiting_requests)
    }
}

/// The slots of one service at one place, and what each team wants of them.
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
    /// The slots of the service.
    pub capacity_slots: u32,
    /// The teams with work.
    pub teams: LiteMap<TeamId, TeamDemand>,
}

impl ServiceDemand {
    /// Returns one team's work.
    #[must_use]
    pub fn team(&self, team: &TeamId) -> TeamDemand {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Adds one team's work.
    pub fn add(&mut self, team: &TeamId, demand: TeamDemand) {
        if let Some(sum) = self.teams.get_mut(team) {
            sum.running_slots += demand.running_slots;
            sum.waiting_requests += demand.waiting_requests;
        } else {
            self.teams.insert(team.clone(), demand);
        }
    }

    /// Adds the work of another place, and its slots.
    pub fn add_all(&mut self, other: &Self) {
        self.capacity_slots += other.capacity_slots;
        for (team, demand) in other.teams.iter() {
            self.add(team, *demand);
        }
    }
}
