//! Connections to the other entries, opened on demand and replaced when a peer stops responding.

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

/// The envelope kind of acknowledgements, which have no payload.
pub(crate) const ACKNOWLEDGEMENT_KIND: u32 = 1;
