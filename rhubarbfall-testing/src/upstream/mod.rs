//! Stand-in for upstreams, which records the requests that it runs and can be made to fail.

mod stand_in_upstream;
mod upstream_log;

pub use stand_in_upstream::{StandInUpstream, UpstreamMode};
pub use upstream_log::{UpstreamLog, UpstreamReport};
