use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ClaimKey;

/// One row of the claim log: the claims and releases that an entry wrote together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSegment {
    /// The place in the log; the log has no gaps.
    pub sequence: u64,
    /// The process that wrote it, with its incarnation.
    pub appender: Arc<str>,
    /// Counts the appends of that process, so that it recognises its own write.
    pub append_number: u64,
    /// The requests that the process may run from now on.
    pub claims: Vec<ClaimKey>,
    /// Requests that the process claimed earlier and surely did not run.
    pub releases: Vec<ClaimKey>,
}
