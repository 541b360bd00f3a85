//! Test support: stand-ins for the platform and for upstreams, a TCP relay that injects faults, and
//! a rig that runs the entries as separate processes.

mod http_server;
pub mod platform;
mod relay;
pub mod rig;
pub mod upstream;

pub use http_server::{Body, ConnectionDropped, json_response, serve_http, text_response};
pub use relay::{Relay, RelayMode};
