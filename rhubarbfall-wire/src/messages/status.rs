//! Asking other entries which revision they have in force.

use prost::Message;

/// The kind of [`StatusRequest`].
pub const STATUS_REQUEST_KIND: u32 = 18;

/// The kind of [`StatusResponse`].
pub const STATUS_RESPONSE_KIND: u32 = 19;

/// Asks an entry for its status.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StatusRequest {
    /// The number of the question at the asker.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// An entry's status.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StatusResponse {
    /// The number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The revision in force; nothing when there is none.
    #[prost(uint64, optional, tag = "2")]
    pub revision: Option<u64>,
}
