//! Protocol between entry processes: messages, framing, authentication and the peer network.

mod connection;
mod envelope;
mod fleet_key;
mod frame_codec;
mod handshake;
mod hello;
pub mod messages;
mod network;
mod peer_identity;
mod wire_error;

pub use connection::{PeerConnection, accept, connect};
pub use envelope::{Envelope, PROTOCOL_VERSION};
pub use fleet_key::FleetKey;
pub use frame_codec::{FRAME_OVERHEAD_BYTES, FrameCodec, MAX_FRAME_BYTES};
pub use handshake::{Handshake, HandshakeRole};
pub use hello::{Hello, Proof};
pub use network::{
    MessageHandler, Peer, PeerNetwork, PeerNetworkConfig, ReceivedMessage, SendError,
};
pub use peer_identity::PeerIdentity;
pub use wire_error::WireError;
