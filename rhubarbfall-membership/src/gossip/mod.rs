//! What entries tell each other: heartbeats within a zone, one speaker for each zone between zones.

mod compose;
mod messages;
mod peer_state;
mod receive;
mod roster;
mod state;

pub use receive::HeartbeatOutcome;
pub use state::{Gossip, OutgoingHeartbeat};
