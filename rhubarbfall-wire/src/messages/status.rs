//! Messages that query which document revision is in force at another entry.

use prost::Message;

/// The envelope kind of [`StatusRequest`].
pub const STATUS_REQUEST_KIND: u32 = 18;

/// The envelope kind of [`StatusResponse`].
pub const STATUS_RESPONSE_KIND: u32 = 19;

/// Requests the status of an entry.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StatusRequest {
    /// The number of the request at its sender.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// The response to a [`StatusRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StatusResponse {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The document revision in force at the sender, or `None` if it has no document in force yet.
    #[prost(uint64, optional, tag = "2")]
    pub revision: Option<u64>,
}
