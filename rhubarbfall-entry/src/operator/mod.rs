//! The operators' interface: the document, the state dump, metrics and health.

mod document_endpoints;
mod health_endpoints;
mod server;
mod state_dump;

pub use server::{OperatorContext, serve};
pub use state_dump::StateDump;
