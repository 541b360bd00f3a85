use serde::{Deserialize, Serialize};

use crate::KeySpec;

/// The `keys` section: the granted keys, of which only digests are stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeysSection {
    /// Granted keys.
    #[serde(default, rename = "key", skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeySpec>,
}
