//! Entry membership, zone leases and configuration freshness.
//!
//! Every type is a state machine without I/O: its input is the current time and an event. The entry
//! process owns the sockets and the clock.
//!
//! *Keyed work* is work requested with an API key. It is admitted only while the configuration in
//! force is proved to be the newest.

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
