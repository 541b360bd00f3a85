//! Dispatch of requests: which waiting request starts next, and on which upstream.

mod dispatch_request;
mod dispatch_state;
mod dispatcher;
mod permit;

pub use dispatch_request::{DispatchRequest, WorkClass};
pub use dispatch_state::{DispatchSnapshot, UpstreamSnapshot};
pub use dispatcher::Dispatcher;
pub use permit::Permit;
