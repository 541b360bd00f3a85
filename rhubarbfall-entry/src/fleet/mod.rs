//! The fleet duty: drains that this entry confirms, and waves and moves while it holds the lease
//! of its availability zone.
//!
//! Everything between entries goes through the platform's table. Each entry keeps a row of its own
//! with the drains that it confirms and the demand that it sees; the holder reads them all.

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
