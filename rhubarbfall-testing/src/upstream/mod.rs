//! A stand-in for upstreams, which records what it runs and can be made to fail.

mod stand_in_upstream;
mod upstream_log;

pub use stand_in_upstream::{StandInUpstream, UpstreamMode};
pub use upstream_log::{UpstreamLog, UpstreamReport};
