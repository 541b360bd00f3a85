use std::fmt;
use std::sync::Arc;

use rhubarbfall_core::TeamId;
use serde::{Deserialize, Serialize};

use crate::SectionId;

/// The owner of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyOwner {
    /// The key submits work for this team and edits its section.
    Team(TeamId),
    /// The key belongs to the operator with this name.
    Operator(Arc<str>),
}

impl KeyOwner {
    /// Returns whether the owner may edit a section.
    ///
    /// Operators edit `fleet` and `keys`; a team edits only its own section.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_document::{KeyOwner, SectionId};
    ///
    /// let team = KeyOwner::Team("house-a".parse()?);
    /// assert!(team.may_edit(&SectionId::Team("house-a".parse()?)));
    /// assert!(!team.may_edit(&SectionId::Team("house-b".parse()?)));
    /// assert!(!team.may_edit(&SectionId::Fleet));
    /// # Ok::<(), rhubarbfall_core::ParseIdError>(())
    /// ```
    #[must_use]
    pub fn may_edit(&self, section: &SectionId) -> bool {
        match (self, section) {
            (Self::Operator(_), SectionId::Fleet | SectionId::Keys) => true,
            (Self::Team(owner), SectionId::Team(team)) => owner == team,
            _ => false,
        }
    }
}

impl fmt::Display for KeyOwner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(team) => write!(f, "team {team}"),
            Self::Operator(name) => write!(f, "operator {name}"),
        }
    }
}
