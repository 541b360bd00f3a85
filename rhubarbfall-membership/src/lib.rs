//! Entry membership, zone leases and configuration freshness.
//!
//! Everything here is a decision over the time, an event and its own state; the entry process owns
//! the sockets and the clock.

mod change_announcement;
mod config;
mod document_delta;
mod freshness;
mod gossip;
mod member;
mod revocations;
mod table_poll;
mod zone_lease;

pub use change_announcement::{AnnouncementStep, ChangeAnnouncement};
pub use config::MembershipConfig;
pub use document_delta::{DeltaLog, DocumentDelta, Patch};
pub use freshness::{Freshness, Intent, IntentId, MemberReport};
pub use gossip::{Gossip, HeartbeatOutcome, OutgoingHeartbeat};
pub use member::Member;
pub use revocations::Revocations;
pub use table_poll::TablePoll;
pub use zone_lease::{LeaseRequest, LeaseRow, ZoneLease, ZoneLeaseConfig};
