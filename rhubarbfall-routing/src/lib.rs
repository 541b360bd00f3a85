//! Upstream choice, health, retries and connections.

mod claims;
mod connections;
mod retries;
mod upstreams;

pub use claims::*;
pub use connections::*;
pub use retries::*;
pub use upstreams::*;
