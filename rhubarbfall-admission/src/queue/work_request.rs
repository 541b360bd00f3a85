use std::fmt;
use std::time::Instant;

use rhubarbfall_core::{QueueId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};

/// The priority class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// A caller is waiting for the response.
    Urgent,
    /// The request may wait until its deadline.
    Batch,
}

/// Identifies a request at one entry while it waits or runs.
///
/// An index is reused after its request has ended; the generation distinguishes the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

impl Ticket {
    /// Returns the slab index, which no other request at the entry has at the same time.
    ///
    /// Indices are small and reused, so they can index a `Vec`.
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

/// A request for one slot of a service.
#[derive(Debug, Clone)]
pub struct WorkRequest {
    /// The team whose share and upper limit the request counts against.
    pub team: TeamId,
    /// The queue that the request was submitted to.
    pub queue: QueueId,
    /// The service that runs the request.
    pub service: ServiceId,
    /// The priority class.
    pub class: WorkClass,
    /// The time before which the request must start.
    pub deadline: Instant,
}
