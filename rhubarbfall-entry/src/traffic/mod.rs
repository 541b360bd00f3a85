//! The callers' side: requests in, answers out.

mod authorize;
mod caller_request;
mod exchange;
mod handler;
mod refusal;
mod server;
mod upstream_body;
mod upstream_connections;

pub use caller_request::CallerRequest;
pub use refusal::Refusal;
pub use server::{HttpListener, serve};
pub use upstream_connections::UpstreamConnections;
