use std::fmt;

use rhubarbfall_core::{ResultCode, SectionVersion};
use serde::{Deserialize, Serialize};

use crate::{DocumentError, HistoryRecord, SectionId};

/// A section that changed after the version that was edited.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionConflict {
    /// Section that changed.
    pub section: SectionId,
    /// Version that was edited; `None` if the change does not state one.
    pub base_version: Option<SectionVersion>,
    /// Current version.
    pub current_version: SectionVersion,
    /// Changes of this section after the edited version, as far back as the history goes.
    pub changed_since: Vec<HistoryRecord>,
}

/// The reason why a change is rejected; a rejected change has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeError {
    /// The author may not edit these sections.
    Forbidden(Vec<SectionId>),
    /// These sections changed after the versions that were edited.
    Conflict(Vec<SectionConflict>),
    /// The changed document would break a rule.
    Invalid(DocumentError),
}

impl ChangeError {
    /// Returns the result code that reports this error.
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
                    writeln!(f, "this key may not edit section {section}")?;
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
            Some(base) => writeln!(
                f,
                "section {section}: edited from version {base}, current version is {current}"
            )?,
            None => writeln!(
                f,
                "section {section}: `versions` does not list it, current version is {current}"
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
