//! HTTP interface for operators: document, fleet status, state dump, metrics and health checks.

mod document_endpoints;
mod fleet_endpoints;
mod fleet_status;
mod health_endpoints;
mod operator_key;
mod response;
mod server;
mod state_dump;

pub(crate) use document_endpoints::read_operator_body;
pub use fleet_status::FleetStatus;
pub(crate) use fleet_status::register as register_status;
pub(crate) use operator_key::check_operator;
pub(crate) use response::respond;
pub use server::{OperatorContext, serve};
pub use state_dump::StateDump;
