use std::sync::Arc;

use rhubarbfall_core::TeamId;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, KeyOwner};

/// One granted key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "KeyFields", into = "KeyFields")]
pub struct KeySpec {
    /// The keyed digest of the key.
    pub digest: KeyDigest,
    /// Who may use the key.
    pub owner: KeyOwner,
    /// A name for people, so that a key can be withdrawn without knowing it.
    pub label: Arc<str>,
}

/// The fields as they are written, so that unknown ones are refused beside the owner's.
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

/// What a key without exactly one owner is told.
pub(crate) const KEY_OWNER_MESSAGE: &str = "a key has either `team` or `operator`";
