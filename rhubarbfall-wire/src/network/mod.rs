//! The peer network: connections to the other entries, opened when needed and replaced when silent.

mod config;
mod inbound;
mod link;
mod peer;
mod peer_network;
mod send_error;

pub use config::PeerNetworkConfig;
pub use peer::{MessageHandler, Peer, ReceivedMessage};
pub use peer_network::PeerNetwork;
pub use send_error::SendError;

/// The kind of the message that only tells the sender that its messages arrive.
pub(crate) const ACKNOWLEDGEMENT_KIND: u32 = 1;
