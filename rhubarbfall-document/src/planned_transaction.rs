use std::sync::Arc;

use rhubarbfall_core::RowVersion;
use serde_json::Value;

use crate::SectionId;

/// Key of the head row, which every accepted change writes.
pub const HEAD_ROW_KEY: &str = "document/head";

/// Prefix of the keys of all rows of the document.
pub const ROW_KEY_PREFIX: &str = "document/";

/// Prefix of the keys of section rows.
pub(crate) const SECTION_ROW_PREFIX: &str = "document/section/";

/// Returns the key of a section's row.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::{SectionId, section_row_key};
///
/// assert_eq!(&*section_row_key(&SectionId::Keys), "document/section/keys");
/// ```
#[must_use]
pub fn section_row_key(section: &SectionId) -> Arc<str> {
    Arc::from(format!("{SECTION_ROW_PREFIX}{section}"))
}

/// Prefix of the keys of history rows.
pub(crate) const HISTORY_ROW_PREFIX: &str = "document/history/";

/// A row of the platform's table.
#[derive(Debug, Clone, PartialEq)]
pub struct TableRow {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version of the row in the table.
    pub version: RowVersion,
    /// Content of the row as JSON.
    pub value: Value,
}

/// A condition of a planned transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCondition {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version that the row must have; 0 requires that the row is absent.
    pub version: RowVersion,
}

/// A write of a planned transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedWrite {
    /// Key of the row.
    pub key: Arc<str>,
    /// New content; `None` deletes the row.
    pub value: Option<Value>,
}

/// A transaction that the platform's table must apply as a whole or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedTransaction {
    /// Identifier of the transaction; always the same for the same change on the same revision.
    pub id: Arc<str>,
    /// Conditions that must all hold.
    pub conditions: Vec<PlannedCondition>,
    /// Rows to write or delete.
    pub writes: Vec<PlannedWrite>,
}
