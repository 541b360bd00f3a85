//! The process that takes submissions from callers and runs them on the platform's workers.
//!
//! Every entry VM runs one. One of them owns the submissions at a time and decides; the others
//! pass callers' requests on to it and stand by to take over. Snapshot of it runs on one thread: the
//! entry VMs have a single core, and a quarter of it.

mod callers;
mod http_server;
mod lifecycle;
mod logging;
mod node;
mod operator_feed;
mod owner;
mod ownership;
mod peer;
mod peer_status;
mod readiness;
mod settings;
mod table_feed;
mod telemetry;

pub use lifecycle::run;
pub use settings::{SchedulerProcessSettings, SettingsError, read_settings};
