//! Division of the upstreams' slots among the entries of an availability zone.

mod membership_view;
mod rendezvous;
mod slot_ownership;

pub use membership_view::MembershipView;
pub use rendezvous::slot_owner;
pub use slot_ownership::{SlotId, SlotOwnership};
