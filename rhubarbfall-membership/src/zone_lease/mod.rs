//! Lease that makes one entry of an availability zone its leader.

mod config;
mod lease_row;
mod state;

pub use config::ZoneLeaseConfig;
pub use lease_row::LeaseRow;
pub use state::{LeaseRequest, ZoneLease};
