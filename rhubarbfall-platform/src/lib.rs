//! Clients of the platform's table, object store, VM list and maintenance service.
//!
//! `docs/PLATFORM_PROTOCOL.md` describes the wire format. Support for another protocol only requires
//! changes to the modules of this package.

mod http_client;
pub mod maintenance;
pub mod objects;
mod platform_error;
pub mod table;
pub mod vms;

pub use http_client::{HttpClient, HttpResponse};
pub use platform_error::PlatformError;
