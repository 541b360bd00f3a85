//! Routing of requests to upstreams: selection, health, retries, connection reuse, claims of
//! non-idempotent requests and slot ownership.

mod choice;
mod claims;
mod connections;
mod retries;
mod slots;
mod upstreams;

pub use choice::*;
pub use claims::*;
pub use connections::*;
pub use retries::*;
pub use slots::*;
pub use upstreams::*;
