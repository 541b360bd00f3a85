use serde::{Deserialize, Serialize};

/// The base row, which fences the claim log: each trim of old segments raises its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLogBase {
    /// The oldest sequence number still in the log.
    pub first: u64,
}
