use serde::Serialize;

use crate::{FleetSection, KeysSection, TeamSection};

/// The contents of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub enum Section {
    /// Pools, services, queues and the limits of teams.
    Fleet(FleetSection),
    /// The granted keys.
    Keys(KeysSection),
    /// What a team sets for itself.
    Team(TeamSection),
}
