use serde::Serialize;

use crate::{FleetSection, KeysSection, TeamSection};

/// The contents of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub enum Section {
    /// Pools, services, queues and the limits of teams.
    Fleet(FleetSection),
    /// Granted keys.
    Keys(KeysSection),
    /// Settings that a team edits itself.
    Team(TeamSection),
}
