use std::time::Duration;

use rhubarbfall_core::ResultCode;

use super::Ticket;

/// What became of a request that was handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The request waits.
    Queued {
        /// Identifies the request from now on.
        ticket: Ticket,
        /// A request that lost its place to this one; it has not run.
        shed: Option<Ticket>,
    },
    /// The request does not wait and has not run.
    Rejected(Rejection),
}

/// Why a request does not wait, and when another try may succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub code: ResultCode,
    /// After how long another try may succeed.
    pub retry_after: Duration,
}
