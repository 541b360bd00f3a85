use rhubarbfall_core::{ShareWeight, Slots, TeamId};
use serde::{Deserialize, Serialize};

/// The limit and the share of a team, set by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Identifier of the team.
    pub id: TeamId,
    /// Maximum number of slots that the team's work may hold at once across the fleet.
    pub upper_limit_slots: Slots,
    /// Weight of the team in the division of slots when demand exceeds the number of slots.
    pub share_weight: ShareWeight,
}
