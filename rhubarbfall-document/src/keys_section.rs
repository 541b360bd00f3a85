use std::sync::Arc;

use rhubarbfall_core::TeamId;
use serde::{Deserialize, Serialize};

/// The section of granted keys; only digests are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeysSection {
    /// The keys that are granted.
    #[serde(default, rename = "key")]
    pub keys: Vec<KeySpec>,
}

/// One granted key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// The keyed digest of the key, in hexadecimal.
    pub digest: Arc<str>,
    /// Who may use the key.
    #[serde(flatten)]
    pub owner: KeyOwner,
    /// A name for people, so that a key can be withdrawn without knowing it.
    pub label: Arc<str>,
}

/// Who may use a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyOwner {
    /// The key hands in work and edits the section of this team.
    Team(TeamId),
    /// The key belongs to the operator with this name.
    Operator(Arc<str>),
}
