use std::sync::Arc;

use rhubarbfall_core::TeamId;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, KeyOwner};

/// A granted key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "KeyFields", into = "KeyFields")]
pub struct KeySpec {
    /// Keyed digest of the key.
    pub digest: KeyDigest,
    /// Owner of the key.
    pub owner: KeyOwner,
    /// Human-readable name, by which a key can be withdrawn without knowing the key.
    pub label: Arc<str>,
}

/// The serialized form of a key, which rejects unknown fields next to those of the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFields {
    digest: KeyDigest,
    label: Arc<str>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    team: Option<TeamId>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    operator: Option<Arc<str>>,
}

impl TryFrom<KeyFields> for KeySpec {
    type Error = &'static str;

    fn try_from(fields: KeyFields) -> Result<Self, Self::Error> {
        let owner = match (fields.team, fields.operator) {
            (Some(team), None) => KeyOwner::Team(team),
            (None, Some(operator)) => KeyOwner::Operator(operator),
            _ => return Err(KEY_OWNER_MESSAGE),
        };
        Ok(Self {
            digest: fields.digest,
            owner,
            label: fields.label,
        })
    }
}

impl From<KeySpec> for KeyFields {
    fn from(key: KeySpec) -> Self {
        let (team, operator) = match key.owner {
            KeyOwner::Team(team) => (Some(team), None),
            KeyOwner::Operator(operator) => (None, Some(operator)),
        };
        Self {
            digest: key.digest,
            label: key.label,
            team,
            operator,
        }
    }
}

/// Fault message for a key that does not have exactly one owner.
pub(crate) const KEY_OWNER_MESSAGE: &str = "a key must have exactly one of `team` and `operator`";
