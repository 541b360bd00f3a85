//! Selection among the upstreams that have a free slot.

mod least_wait;
mod upstream_load;

pub use least_wait::least_wait;
pub use upstream_load::UpstreamLoad;
