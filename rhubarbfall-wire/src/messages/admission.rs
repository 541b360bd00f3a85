//! Messages of admission: loans of slots between entries, and summaries of each entry's load.

use prost::Message;

/// The envelope kind of [`LoanRequests`].
pub const LOAN_REQUESTS_KIND: u32 = 20;
/// The envelope kind of [`LoanReplies`].
pub const LOAN_REPLIES_KIND: u32 = 21;
/// The envelope kind of [`WorkSummary`].
pub const WORK_SUMMARY_KIND: u32 = 22;

/// A borrower's requests for slots, sent to one lender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanRequests {
    /// The requests, at most one per team.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<TeamLoanRequest>,
}

/// A request to borrow slots for one team.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamLoanRequest {
    /// The team that the slots are for.
    #[prost(string, tag = "1")]
    pub team: String,
    /// A number that increases with each request of a borrower.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The number of borrowed slots that the borrower holds.
    #[prost(uint32, tag = "3")]
    pub held_slots: u32,
    /// The total number of slots that the borrower wants to hold.
    #[prost(uint32, tag = "4")]
    pub wanted_slots: u32,
}

/// A lender's replies to the requests of one borrower.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoanReplies {
    /// The replies, at most one per team.
    #[prost(message, repeated, tag = "1")]
    pub replies: Vec<TeamLoanReply>,
}

/// A lender's reply for one team.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamLoanReply {
    /// The team that the slots are for.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The `sequence` of the request.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The total number of slots that the borrower may hold.
    #[prost(uint32, tag = "3")]
    pub granted_slots: u32,
    /// The number of further slots that the lender could lend.
    #[prost(uint32, tag = "4")]
    pub spare_slots: u32,
}

/// The load of one entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WorkSummary {
    /// One summary per service.
    #[prost(message, repeated, tag = "1")]
    pub services: Vec<ServiceSummary>,
}

/// The load of one service at one entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceSummary {
    /// The identifier of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The total slots of the usable upstreams in the sender's availability zone.
    #[prost(uint32, tag = "2")]
    pub capacity_slots: u32,
    /// One summary per team with running or waiting requests.
    #[prost(message, repeated, tag = "3")]
    pub teams: Vec<TeamSummary>,
}

/// The load of one team at one entry and service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamSummary {
    /// The identifier of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The number of slots in use by the team's requests.
    #[prost(uint32, tag = "2")]
    pub running_slots: u32,
    /// The number of requests in the team's queues.
    #[prost(uint32, tag = "3")]
    pub waiting_requests: u32,
}
