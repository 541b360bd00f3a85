use rhubarbfall_core::TeamId;
use serde::{Deserialize, Serialize};

/// Who may hand in work to a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueAccess {
    /// Anybody, without a key; the work counts for the named team.
    OpenAs(TeamId),
    /// These teams, each with a key that is granted to it.
    Teams(Vec<TeamId>),
}
