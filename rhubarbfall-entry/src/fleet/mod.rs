//! Fleet management: every entry confirms drains, and the holder of an availability zone's lease
//! runs the zone's maintenance waves and pool moves.
//!
//! Entries exchange this state only through the platform's table. Each entry writes a row with the
//! drains that it confirms and the demand of its queues; the lease holders read the rows of all
//! entries.

mod endpoints;
mod entry_row;
mod fleet_controller;
mod fleet_registration;
mod fleet_settings;
mod fleet_state;
mod health_probe;
mod operations;
mod plan_waves;
mod read_rows;

pub(crate) use endpoints::{explain, move_vm, set_wave_status, wave_plan, waves};
pub use entry_row::EntryFleetRow;
pub(crate) use fleet_controller::run as run_controller;
pub(crate) use fleet_registration::{run as run_registration, withdraw};
pub use fleet_settings::FleetSettings;
pub use fleet_state::{FleetDump, FleetState};
