use std::time::Instant;

pub use rhubarbfall_admission::WorkClass;
use rhubarbfall_core::{QueueId, RequestId, ServiceId, TeamId, UpstreamId};

/// One request that asks for an upstream.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// The request.
    pub request_id: RequestId,
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
