use serde::{Deserialize, Serialize};

use crate::KeyDigest;

/// The answer to the question for a key's digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyDigestAnswer {
    /// The digest under the fleet's pepper.
    pub digest: KeyDigest,
}
