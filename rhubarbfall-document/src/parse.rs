use std::sync::Arc;

use rhubarbfall_core::{LiteMap, TeamId};
use serde::Serialize;

use crate::check::{Violation, check};
use crate::document_draft::DocumentDraft;
use crate::document_error::DocumentError;
use crate::text_fault::TextFault;
use crate::{Document, FleetSection, KeysSection, SectionId, TeamSection};

impl Document {
    /// Parses and checks a whole document.
    ///
    /// # Errors
    ///
    /// Returns the faults, each with its line and column.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_document::Document;
    ///
    /// let text = "[[fleet.service]]\nid = 'labels'\npool = 'none'\nslots_per_upstream = 8\n\
    ///             connections_per_upstream = 64\nanswer_timeout_ms = 5000\n";
    /// let error = Document::parse(text).unwrap_err();
    /// assert_eq!(
    ///     error.to_string(),
    ///     "line 3, column 1: fleet.service[0].pool: no pool is named none",
    /// );
    /// ```
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let (draft, faults) = DocumentDraft::parse_recoverable(text)?;
        let document = draft.to_document();
        let faults = with_violations(&draft, faults, check(&document));
        if faults.is_empty() {
            Ok(document.sorted())
        } else {
            Err(DocumentError::new(false, faults))
        }
    }

    /// Checks a document that was not parsed from text, such as one read from the table.
    ///
    /// # Errors
    ///
    /// Returns the broken rules as faults without a position.
    pub fn check(&self) -> Result<(), DocumentError> {
        let faults = with_violations(&DocumentDraft::default(), Vec::new(), check(self));
        if faults.is_empty() {
            Ok(())
        } else {
            Err(DocumentError::new(false, faults))
        }
    }

    /// Returns the canonical TOML text: lists are sorted by identifier, and there are no comments.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_document::Document;
    ///
    /// let document = Document::parse("team = {}\nrevision = 4")?;
    /// assert_eq!(Document::parse(&document.to_toml())?, document);
    /// # Ok::<(), rhubarbfall_document::DocumentError>(())
    /// ```
    #[must_use]
    pub fn to_toml(&self) -> String {
        toml::to_string(&self.clone().sorted()).expect("serializing a document to TOML succeeds")
    }

    /// Returns the canonical TOML text of some sections.
    #[must_use]
    pub fn sections_to_toml(&self, sections: &[SectionId]) -> String {
        let is_wanted = |id: &SectionId| sections.contains(id);
        let teams = sections.iter().filter_map(|id| match id {
            SectionId::Team(team) => Some((team.clone(), self.teams.get(team).cloned())),
            _ => None,
        });
        let selected = SelectedSections {
            fleet: is_wanted(&SectionId::Fleet).then_some(&self.fleet),
            keys: is_wanted(&SectionId::Keys).then_some(&self.keys),
            teams: teams
                .map(|(id, section)| (id, section.unwrap_or_default()))
                .collect(),
        };
        toml::to_string(&selected).expect("serializing a document to TOML succeeds")
    }
}

/// Some sections of a document; the text contains no heading for the others.
#[derive(Debug, Serialize)]
struct SelectedSections<'d> {
    #[serde(skip_serializing_if = "Option::is_none")]
    fleet: Option<&'d FleetSection>,
    #[serde(skip_serializing_if = "Option::is_none")]
    keys: Option<&'d KeysSection>,
    #[serde(rename = "team", skip_serializing_if = "LiteMap::is_empty")]
    teams: LiteMap<TeamId, TeamSection>,
}

/// Adds the violations to the faults, except those of fields that already have a fault because they
/// could not be read.
pub(crate) fn with_violations(
    draft: &DocumentDraft,
    mut faults: Vec<TextFault>,
    violations: Vec<Violation>,
) -> Vec<TextFault> {
    let mut unreadable: Vec<Arc<str>> = faults.iter().map(|fault| fault.path.clone()).collect();
    unreadable.sort();
    for violation in violations {
        let path = Arc::from(violation.path);
        if unreadable.binary_search(&path).is_ok() {
            continue;
        }
        faults.push(TextFault {
            position: draft.position(&path),
            path,
            message: Arc::from(violation.message),
        });
    }
    faults
}
