//! Heartbeats among entries: all-to-all within a zone, and through one speaker per zone between
//! zones.

mod compose;
mod messages;
mod peer_state;
mod receive;
mod roster;
mod state;

pub use receive::HeartbeatOutcome;
pub use state::{Gossip, OutgoingHeartbeat};
