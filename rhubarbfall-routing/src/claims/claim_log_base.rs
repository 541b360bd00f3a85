use serde::{Deserialize, Serialize};

/// The row that fences the claim log: each removal of old segments raises its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLogBase {
    /// The oldest sequence number that the log still has.
    pub first: u64,
}
