use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation};

/// Another entry, as membership knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The entry.
    pub entry: EntryId,
    /// The availability zone of the entry.
    pub zone: AvailabilityZoneId,
    /// The process on the entry's VM.
    pub incarnation: Incarnation,
    /// Where the entry takes connections of its peers.
    pub address: SocketAddr,
    /// Whether the entry is taken for alive.
    pub is_live: bool,
}

/// A message that a peer sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The entry that sent the message.
    pub sender: EntryId,
    /// The availability zone of the sender.
    pub zone: AvailabilityZoneId,
    /// The process that sent the message.
    pub incarnation: Incarnation,
    /// Where the sender takes connections of its peers.
    pub address: SocketAddr,
    /// The encoded message.
    pub payload: Bytes,
}

/// What is called with each message of one kind; it runs on the network's runtime and must not block.
pub type MessageHandler = Arc<dyn Fn(ReceivedMessage) + Send + Sync>;
