use std::time::Instant;

pub use rhubarbfall_admission::WorkClass;
use rhubarbfall_core::{QueueId, RequestId, ServiceId, TeamId, UpstreamId};

/// A request that needs a permit for an upstream.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// The request's identifier.
    pub request_id: RequestId,
    /// The team that the request counts for.
    pub team: TeamId,
    /// The queue that the request was sent to.
    pub queue: QueueId,
    /// The service that runs the request.
    pub service: ServiceId,
    /// The priority class.
    pub class: WorkClass,
    /// Time by which the request must have started.
    pub deadline: Instant,
    /// Upstreams where an attempt failed; others are preferred.
    pub avoided: Vec<UpstreamId>,
}
