//! Maintenance reboots that the platform announces, and the permits that it waits for.

mod maintenance_client;
mod maintenance_record;

pub use maintenance_client::MaintenanceClient;
pub use maintenance_record::{MaintenancePermit, MaintenanceRecord, MaintenanceState};
