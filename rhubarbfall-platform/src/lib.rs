//! Clients of the platform's table, object store and VM list.
//!
//! The wire format stands in `docs/PLATFORM_PROTOCOL.md`; another protocol replaces the modules of
//! this package and nothing else.

mod http_client;
pub mod maintenance;
pub mod objects;
mod platform_error;
pub mod table;
pub mod vms;

pub use http_client::{HttpClient, HttpResponse};
pub use platform_error::PlatformError;
