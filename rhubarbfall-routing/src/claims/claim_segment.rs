use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ClaimKey;

/// One row of the claim log: claims and releases that an entry wrote together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSegment {
    /// Position in the log, which has no gaps.
    pub sequence: u64,
    /// The process that wrote the segment, with its incarnation.
    pub appender: Arc<str>,
    /// Number of the append at that process, by which the process recognises its own write.
    pub append_number: u64,
    /// Requests that the process may run once the segment is in the log.
    pub claims: Vec<ClaimKey>,
    /// Requests that the process claimed earlier and certainly has not run.
    pub releases: Vec<ClaimKey>,
}
