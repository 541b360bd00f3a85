//! Messages of admission: loans of rights, and summaries of work.

use prost::Message;

/// The kind of [`LoanRequests`].
pub const LOAN_REQUESTS_KIND: u32 = 20;
/// The kind of [`LoanReplies`].
pub const LOAN_REPLIES_KIND: u32 = 21;
/// The kind of [`WorkSummary`].
pub const WORK_SUMMARY_KIND: u32 = 22;

/// Requests for loans that go to one lender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanRequests {
    /// At most one request for each team.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<TeamLoanRequest>,
}

/// A request for one team's slots.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamLoanRequest {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Orders the requests of one borrower.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The slots that the borrower holds.
    #[prost(uint32, tag = "3")]
    pub held_slots: u32,
    /// The slots that the borrower would like to hold.
    #[prost(uint32, tag = "4")]
    pub wanted_slots: u32,
}

/// Answers to the requests of one borrower.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanReplies {
    /// At most one answer for each team.
    #[prost(message, repeated, tag = "1")]
    pub replies: Vec<TeamLoanReply>,
}

/// An answer for one team.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamLoanReply {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The number of the request.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The slots that the borrower may hold.
    #[prost(uint32, tag = "3")]
    pub granted_slots: u32,
    /// The slots that the lender could lend besides.
    #[prost(uint32, tag = "4")]
    pub spare_slots: u32,
}

/// The work at one entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WorkSummary {
    /// The services with work.
    #[prost(message, repeated, tag = "1")]
    pub services: Vec<ServiceSummary>,
}

/// The work of one service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceSummary {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The slots of the upstreams in the sender's zone that take work.
    #[prost(uint32, tag = "2")]
    pub capacity_slots: u32,
    /// The teams with work.
    #[prost(message, repeated, tag = "3")]
    pub teams: Vec<TeamSummary>,
}

/// The work of one team.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamSummary {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The slots that its work holds.
    #[prost(uint32, tag = "2")]
    pub running_slots: u32,
    /// The requests that wait.
    #[prost(uint32, tag = "3")]
    pub waiting_requests: u32,
}
