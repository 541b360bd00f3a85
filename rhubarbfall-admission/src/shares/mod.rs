//! Weighted max-min division of slots among teams.

mod entry_portions;
mod fair_portions;
mod team_demand;

pub use entry_portions::{EntryPortion, ServiceView, TeamShare, divide_slots, entry_portions};
pub use fair_portions::{Claim, fair_portions};
pub use team_demand::{ServiceDemand, TeamDemand};
