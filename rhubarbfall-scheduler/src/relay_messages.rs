//! Messages between an owner and the entries that make its calls to workers.

use prost::Message;

/// Calls for the receiving entry to make, and a request for the results of earlier ones.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RelayRequest {
    /// Random number of the owner's link; results belong to one link.
    #[prost(uint64, tag = "1")]
    pub(crate) session: u64,
    /// Fencing number of the owner; calls for earlier owners are refused.
    #[prost(uint64, tag = "2")]
    pub(crate) fencing_number: u64,
    #[prost(message, repeated, tag = "3")]
    pub(crate) calls: Vec<RelayedCall>,
    /// How long to wait for a result if there is none, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub(crate) wait_ms: u64,
}

/// A call to a worker.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RelayedCall {
    /// Number of the call in its session.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    #[prost(string, tag = "2")]
    pub(crate) worker: String,
    #[prost(string, tag = "3")]
    pub(crate) address: String,
    #[prost(string, tag = "4")]
    pub(crate) path: String,
    #[prost(bytes = "bytes", tag = "5")]
    pub(crate) body: bytes::Bytes,
    #[prost(uint64, tag = "6")]
    pub(crate) timeout_ms: u64,
}

/// Results of calls, in the order in which they ended.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RelayResponse {
    #[prost(message, repeated, tag = "1")]
    pub(crate) results: Vec<RelayedResult>,
}

/// The result of a call to a worker.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RelayedResult {
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// Status code of the worker's response; 0 if there is none.
    #[prost(uint32, tag = "2")]
    pub(crate) status: u32,
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) body: bytes::Bytes,
    /// Without a response: whether the worker has certainly not received the call.
    #[prost(bool, tag = "4")]
    pub(crate) was_not_sent: bool,
}
