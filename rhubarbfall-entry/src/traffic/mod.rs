//! Serves callers over HTTP: authorizes requests, sends them to upstreams and forwards responses.

mod attempts;
mod authorize;
mod body_budget;
mod caller_request;
mod error_response;
mod exchange;
mod handler;
mod in_flight_guard;
mod read_body;
mod server;
mod upstream_body;
mod upstream_connections;

pub use body_budget::BodyBudget;
pub use caller_request::CallerRequest;
pub use error_response::ErrorResponse;
pub(crate) use in_flight_guard::InFlightGuard;
pub(crate) use read_body::{BufferedBody, discard_body, read_body};
pub(crate) use server::MAX_HEAD_BYTES;
pub use server::{HttpListener, serve};
pub use upstream_connections::UpstreamConnections;
pub(crate) use upstream_connections::{Connection, check_health};
