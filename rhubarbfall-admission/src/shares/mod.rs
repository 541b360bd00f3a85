//! Weighted max-min fair shares of a service's slots among teams, zones and entries.

mod entry_shares;
mod fair_shares;
mod team_demand;

pub use entry_shares::{EntryShare, ServiceView, TeamShareSpec, divide_slots, entry_shares};
pub use fair_shares::{WeightedDemand, fair_shares};
pub use team_demand::{ServiceDemand, TeamDemand};
