use std::fmt;
use std::time::Instant;

use rhubarbfall_core::{QueueId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};

/// How soon work is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Somebody waits for the answer.
    Urgent,
    /// The work may wait until its deadline.
    Batch,
}

/// Identifies a request at one entry while it waits or runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

impl Ticket {
    /// Returns a small number that no other request at the entry has at the same time.
    #[must_use]
    pub const fn index(self) -> usize {
        self.index as usize
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

/// One request that asks for a slot.
#[derive(Debug, Clone)]
pub struct WorkRequest {
    /// The team that the work counts for.
    pub team: TeamId,
    /// The queue that it came through.
    pub queue: QueueId,
    /// The service that runs it.
    pub service: ServiceId,
    /// How soon it is needed.
    pub class: WorkClass,
    /// When it must have started.
    pub deadline: Instant,
}
