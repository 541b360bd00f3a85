//! Which upstreams may get new work.

mod upstream_watch;
mod watched_upstream;

pub use upstream_watch::UpstreamWatch;
pub use watched_upstream::{HealthReport, UpstreamHealthSnapshot};
