//! Upstream choice, health, retries and connections.

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
