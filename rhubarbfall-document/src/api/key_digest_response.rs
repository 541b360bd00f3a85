use serde::{Deserialize, Serialize};

use crate::KeyDigest;

/// The response to a request for the digest of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyDigestResponse {
    /// Digest of the key under the fleet's pepper.
    pub digest: KeyDigest,
}
