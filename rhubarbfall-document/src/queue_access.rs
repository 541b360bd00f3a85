use rhubarbfall_core::TeamId;
use serde::{Deserialize, Serialize};

/// Who may submit work to a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueAccess {
    /// Anyone, without a key; the work is accounted to the named team.
    OpenAs(TeamId),
    /// These teams, each with a key granted to it.
    Teams(Vec<TeamId>),
}
