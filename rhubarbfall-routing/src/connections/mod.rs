//! Whether a connection that waited may carry the next exchange.

mod connection_health;

pub use connection_health::{ConnectionHealth, Reuse};
