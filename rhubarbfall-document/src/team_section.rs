use std::sync::Arc;

use rhubarbfall_core::{LiteMap, QueueId, ShareWeight};
use serde::{Deserialize, Serialize};

/// A team's own section, which the team edits with its own key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSection {
    /// Whom to ask about the team's work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contact: Option<Arc<str>>,
    /// How the team divides its own share among queues; a queue that is not named has weight 1.
    #[serde(default, skip_serializing_if = "LiteMap::is_empty")]
    pub queue_weights: LiteMap<QueueId, ShareWeight>,
}
