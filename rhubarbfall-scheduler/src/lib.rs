//! Scheduler process: accepts submissions from callers and runs them on the platform's workers.
//!
//! Every entry VM runs one scheduler process, called an entry. Submissions, workers and VMs of a large
//! fleet are divided into cells; a small fleet is one cell. One entry at a time owns a cell and
//! schedules its submissions; the others forward callers' requests to the owner and take over when it
//! fails. The process runs on a single thread, because an entry VM may have only a quarter
//! of one core.

mod callers;
mod cancel_delivery;
mod cell_state;
mod http_server;
mod lifecycle;
mod logging;
mod node;
mod operator_feed;
mod owner;
mod owner_call;
mod ownership;
mod peer;
mod peer_status;
mod predecessor;
mod processor_time;
mod readiness;
mod settings;
mod supervision;
mod table_feed;
mod telemetry;
mod vm_orders_on_the_way;

pub use lifecycle::run;
pub use settings::{SchedulerProcessSettings, SchedulerSettingsError, read_settings};
