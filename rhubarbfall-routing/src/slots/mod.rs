//! Division of the upstreams' slots among the entries of an availability zone.

mod rendezvous;
mod slot_ownership;
mod slot_view;

pub use rendezvous::owner;
pub use slot_ownership::{SlotId, SlotOwnership};
pub use slot_view::SlotView;
