//! Membership of the fleet: registration, heartbeats, evidence of freshness and the zone's lease.

mod announcement;
mod handlers;
mod lease;
mod membership_state;
mod registration;
mod tasks;

pub(crate) use announcement::announce;
pub use membership_state::{Membership, MembershipSnapshot};
pub use tasks::run;
