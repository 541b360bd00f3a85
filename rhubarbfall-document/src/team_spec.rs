use rhubarbfall_core::{ShareWeight, Slots, TeamId};
use serde::{Deserialize, Serialize};

/// A team's limit and share, which operators set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The team's identifier.
    pub id: TeamId,
    /// The most slots that the team's work may hold at once over the whole fleet.
    pub upper_limit_slots: Slots,
    /// The team's weight in the division of slots when they are all in demand.
    pub share_weight: ShareWeight,
}
