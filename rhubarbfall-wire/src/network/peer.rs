use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation};

/// Another entry, as known to membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The identifier of the entry.
    pub entry: EntryId,
    /// The availability zone of the entry.
    pub zone: AvailabilityZoneId,
    /// The incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// The address at which the entry accepts connections from its peers.
    pub address: SocketAddr,
    /// Whether membership considers the entry alive.
    pub is_live: bool,
}

/// A message received from an authenticated peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The entry that sent the message.
    pub sender: EntryId,
    /// The availability zone of the sender.
    pub zone: AvailabilityZoneId,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The address at which the sender accepts connections from its peers.
    pub address: SocketAddr,
    /// The encoded message of the kind that the handler was registered for.
    pub payload: Bytes,
}

/// A callback for messages of one kind; it runs on the network's runtime and must not block.
pub type MessageHandler = Arc<dyn Fn(ReceivedMessage) + Send + Sync>;
