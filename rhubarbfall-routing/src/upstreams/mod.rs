//! Tracks which upstreams may receive new work.

mod upstream_watch;
mod watched_upstream;

pub use upstream_watch::UpstreamWatch;
pub use watched_upstream::{HealthReport, UpstreamHealthSnapshot};
