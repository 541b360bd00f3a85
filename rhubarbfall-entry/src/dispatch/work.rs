use std::time::Instant;

use rhubarbfall_core::{QueueId, RequestId, ServiceId, TeamId, UpstreamId};
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

/// One request that asks for an upstream.
#[derive(Debug, Clone)]
pub struct Work {
    /// The request.
    pub request: RequestId,
    /// The team that the work counts for.
    pub team: TeamId,
    /// The queue it came through.
    pub queue: QueueId,
    /// The service that runs it.
    pub service: ServiceId,
    /// How soon it is needed.
    pub class: WorkClass,
    /// When it must have started.
    pub deadline: Instant,
    /// Upstreams where an attempt failed; others are preferred.
    pub avoided: Vec<UpstreamId>,
}
