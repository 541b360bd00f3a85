use std::time::Duration;

use rhubarbfall_core::ResultCode;

use super::Ticket;

/// The result of submitting a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The request was queued.
    Queued {
        /// Identifies the request until it ends.
        ticket: Ticket,
        /// The batch request that was shed to make room for this one; it has not run.
        shed: Option<Ticket>,
    },
    /// The request was not queued and has not run.
    Rejected(Rejection),
}

/// Why a request was rejected, and when a retry may succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason for the rejection.
    pub code: ResultCode,
    /// The delay after which a retry may succeed.
    pub retry_after: Duration,
}
