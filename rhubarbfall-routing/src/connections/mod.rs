//! Decides whether an idle connection may carry the next exchange.

mod connection_health;

pub use connection_health::{ConnectionHealth, Reuse};
