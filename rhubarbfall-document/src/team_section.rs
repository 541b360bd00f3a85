use std::sync::Arc;

use rhubarbfall_core::{LiteMap, QueueId, ShareWeight};
use serde::{Deserialize, Serialize};

/// A team's own section, which the team edits with its own key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSection {
    /// Contact for questions about the team's work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contact: Option<Arc<str>>,
    /// Weights by which the team's share is divided among queues; a queue that is not listed has
    /// weight 1.
    #[serde(default, skip_serializing_if = "LiteMap::is_empty")]
    pub queue_weights: LiteMap<QueueId, ShareWeight>,
}
