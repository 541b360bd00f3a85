//! Upstream choice, health, retries and connections.

mod claims;

pub use claims::*;
