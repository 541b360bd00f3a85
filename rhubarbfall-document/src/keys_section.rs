use serde::{Deserialize, Serialize};

use crate::KeySpec;

/// The section of granted keys; only digests are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeysSection {
    /// The keys that are granted.
    #[serde(default, rename = "key", skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeySpec>,
}
