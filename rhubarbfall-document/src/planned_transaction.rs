use std::sync::Arc;

use rhubarbfall_core::RowVersion;
use serde_json::Value;

use crate::SectionId;

/// The key of the row that every acceptance writes.
pub const HEAD_ROW_KEY: &str = "document/head";

/// What the keys of all rows of the document start with.
pub const ROW_KEY_PREFIX: &str = "document/";

/// What the keys of section rows start with.
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

/// What the keys of history rows start with.
pub(crate) const HISTORY_ROW_PREFIX: &str = "document/history/";

/// A row of the platform's table, as this package sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct TableRow {
    /// The row's key.
    pub key: Arc<str>,
    /// The row's version in the table.
    pub version: RowVersion,
    /// The content.
    pub value: Value,
}

/// A condition of a planned transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedCondition {
    /// The row's key.
    pub key: Arc<str>,
    /// The version that the row must have; zero stands for an absent row.
    pub version: RowVersion,
}

/// A write of a planned transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedWrite {
    /// The row's key.
    pub key: Arc<str>,
    /// The new content; nothing deletes the row.
    pub value: Option<Value>,
}

/// A transaction that the platform's table has to take as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedTransaction {
    /// The transaction's identifier; the same change on the same revision always has the same.
    pub id: Arc<str>,
    /// What must hold.
    pub conditions: Vec<PlannedCondition>,
    /// What is written.
    pub writes: Vec<PlannedWrite>,
}
