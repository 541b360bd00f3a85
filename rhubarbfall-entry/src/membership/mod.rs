//! The other entries: registration, heartbeats, fresh evidence and the zone's lease.

mod acceptance;
mod duties;
mod handle;
mod handlers;
mod lease;
mod registration;

pub(crate) use acceptance::announce;
pub use duties::run;
pub use handle::{Membership, MembershipSnapshot};
