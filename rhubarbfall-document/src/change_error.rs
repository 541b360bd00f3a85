use std::fmt;

use rhubarbfall_core::{ResultCode, SectionVersion};
use serde::{Deserialize, Serialize};

use crate::{DocumentError, HistoryRecord, SectionId};

/// A section that changed after the version that was edited.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionConflict {
    /// The section.
    pub section: SectionId,
    /// The version that was edited; nothing when the change names none.
    pub base_version: Option<SectionVersion>,
    /// The version in force.
    pub current_version: SectionVersion,
    /// What changed in between, as far as the history goes back; only this section's part.
    pub changed_since: Vec<HistoryRecord>,
}

/// Why a change is not accepted; nothing of it takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeError {
    /// The author may not edit these sections.
    Forbidden(Vec<SectionId>),
    /// These sections changed after the versions that were edited.
    Conflict(Vec<SectionConflict>),
    /// The document would break a rule.
    Invalid(DocumentError),
}

impl ChangeError {
    /// Returns the result code that the change is answered with.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Forbidden(_) => ResultCode::SectionForbidden,
            Self::Conflict(_) => ResultCode::SectionVersionConflict,
            Self::Invalid(error) => error.code(),
        }
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Forbidden(sections) => {
                for section in sections {
                    writeln!(f, "section {section} belongs to somebody else")?;
                }
                Ok(())
            }
            Self::Conflict(conflicts) => conflicts.iter().try_for_each(|c| write!(f, "{c}")),
            Self::Invalid(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ChangeError {}

impl fmt::Display for SectionConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (section, current) = (&self.section, self.current_version);
        match self.base_version {
            Some(base) => writeln!(f, "section {section}: edited {base}, in force is {current}")?,
            None => writeln!(
                f,
                "section {section}: `versions` names none, in force is {current}"
            )?,
        }
        for record in &self.changed_since {
            writeln!(f, "  revision {} by {}:", record.revision, record.author)?;
            for difference in record.changes.iter().flat_map(|c| &c.differences) {
                writeln!(f, "    {difference}")?;
            }
        }
        Ok(())
    }
}
