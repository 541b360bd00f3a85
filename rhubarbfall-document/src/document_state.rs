use std::sync::Arc;

use quick_error::quick_error;
use rhubarbfall_core::{LiteMap, Revision, RowVersion, SectionVersion};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::planned_transaction::{HEAD_ROW_KEY, HISTORY_ROW_PREFIX, SECTION_ROW_PREFIX, TableRow};
use crate::{Document, HeadRow, HistoryRecord, Section, SectionId};

quick_error! {
    /// The reason why rows of the table do not form a document.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RowsError {
        /// The content of a row cannot be decoded.
        Malformed(key: Arc<str>, reason: String) {
            display("row {key}: {reason}")
        }
        /// The rows were read from different revisions and must be read again.
        RevisionMismatch(section: SectionId) {
            display("section {section} does not belong to the revision of the head row")
        }
    }
}

/// The document as stored in the table, with the data needed to decide on a change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DocumentState {
    /// Document at the newest revision.
    pub document: Document,
    /// Version of each section; an absent section has version 0.
    pub versions: LiteMap<SectionId, SectionVersion>,
    /// Content of the head row.
    pub head: HeadRow,
    /// Version of the head row in the table; 0 if there is no head row.
    pub head_row_version: RowVersion,
    /// Newest changes, in ascending order of revision.
    pub history: Vec<HistoryRecord>,
}

/// The content of a section's row.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SectionRow<B> {
    pub(crate) version: SectionVersion,
    pub(crate) body: B,
}

impl DocumentState {
    /// Builds the state from the rows with the prefix [`crate::ROW_KEY_PREFIX`]; without any rows,
    /// the document is empty.
    ///
    /// # Errors
    ///
    /// Returns [`RowsError::Malformed`] if a row cannot be decoded, and
    /// [`RowsError::RevisionMismatch`] if some rows were read before and some after a change was
    /// recorded.
    pub fn from_rows(rows: impl IntoIterator<Item = TableRow>) -> Result<Self, RowsError> {
        let mut state = Self::default();
        for row in rows {
            state.add_row(&row)?;
        }
        state.history.sort_by_key(|record| record.revision);
        state.document.revision = state.head.revision;
        state.document = state.document.sorted();
        state.check_consistency()?;
        Ok(state)
    }

    /// Returns the version of a section; 0 if the section is absent.
    pub fn version(&self, section: &SectionId) -> SectionVersion {
        self.versions.get(section).copied().unwrap_or_default()
    }

    /// Returns the changes after a revision, as far back as the history goes.
    pub fn changes_since(&self, revision: Revision) -> &[HistoryRecord] {
        let first = self
            .history
            .partition_point(|record| record.revision <= revision);
        &self.history[first..]
    }

    /// Returns the document at the revision of a newer head row, given the rows of the sections
    /// that have changed; the row of a removed section is `None`.
    ///
    /// # Errors
    ///
    /// Returns [`RowsError::Malformed`] if a row cannot be decoded, and
    /// [`RowsError::RevisionMismatch`] if a row does not match the head row, for example because it
    /// is newer, so that both must be read again.
    pub fn catch_up(
        document: &Document,
        head: &HeadRow,
        rows: impl IntoIterator<Item = (SectionId, Option<TableRow>)>,
    ) -> Result<Document, RowsError> {
        let mut state = Self {
            document: document.clone(),
            head: head.clone(),
            ..Self::default()
        };
        for (section, row) in rows {
            match (section, row) {
                (section, Some(row)) => state.add_section(section, &row)?,
                (SectionId::Team(team), None) => {
                    state.document.teams.remove(&team);
                }
                (section, None) => return Err(RowsError::RevisionMismatch(section)),
            }
        }
        state.check_consistency()?;
        state.document.revision = head.revision;
        Ok(state.document.sorted())
    }

    fn add_row(&mut self, row: &TableRow) -> Result<(), RowsError> {
        if &*row.key == HEAD_ROW_KEY {
            self.head = decode(row)?;
            self.head_row_version = row.version;
        } else if let Some(id) = row.key.strip_prefix(SECTION_ROW_PREFIX) {
            let id = id.parse().map_err(|error| malformed(row, &error))?;
            self.add_section(id, row)?;
        } else if row.key.starts_with(HISTORY_ROW_PREFIX) {
            self.history.push(decode(row)?);
        }
        Ok(())
    }

    fn add_section(&mut self, id: SectionId, row: &TableRow) -> Result<(), RowsError> {
        let content: SectionRow<Value> = decode(row)?;
        let section = match id {
            SectionId::Fleet => Section::Fleet(decode_value(row, &content.body)?),
            SectionId::Keys => Section::Keys(decode_value(row, &content.body)?),
            SectionId::Team(_) => Section::Team(decode_value(row, &content.body)?),
        };
        self.document.set_section(&id, section);
        self.versions.insert(id, content.version);
        Ok(())
    }

    /// Rejects rows of different revisions.
    ///
    /// The version of a section is the revision that last changed it, so it is neither above the
    /// revision of the head row nor below a revision for which the head row lists the section.
    fn check_consistency(&self) -> Result<(), RowsError> {
        let head = self.head.revision.get();
        for (section, version) in &self.versions {
            if version.get() > head {
                return Err(RowsError::RevisionMismatch(section.clone()));
            }
        }
        for change in &self.head.recent {
            for section in &change.sections {
                let version = self.versions.get(section);
                if version.is_some_and(|version| version.get() < change.revision.get()) {
                    return Err(RowsError::RevisionMismatch(section.clone()));
                }
            }
        }
        Ok(())
    }
}

fn decode<T: DeserializeOwned>(row: &TableRow) -> Result<T, RowsError> {
    decode_value(row, &row.value)
}

fn decode_value<T: DeserializeOwned>(row: &TableRow, value: &Value) -> Result<T, RowsError> {
    T::deserialize(value).map_err(|error| malformed(row, &error))
}

fn malformed(row: &TableRow, reason: &impl ToString) -> RowsError {
    RowsError::Malformed(Arc::clone(&row.key), reason.to_string())
}
