use std::sync::Arc;

use rhubarbfall_core::{Revision, SectionVersion};
use serde::{Deserialize, Serialize};

use crate::{Difference, SectionId};

/// Maximum number of differences that a record keeps per section, so that it stays small.
const MAX_DIFFERENCES: usize = 50;

/// The change of a section in one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChange {
    /// Section that changed.
    pub section: SectionId,
    /// Version of the section from this revision on.
    pub version: SectionVersion,
    /// Changed fields, at most 50.
    pub differences: Vec<Difference>,
    /// Number of further changed fields, which the record omits.
    #[serde(default)]
    pub omitted_differences: usize,
}

impl SectionChange {
    pub(crate) fn new(
        section: SectionId,
        version: SectionVersion,
        mut differences: Vec<Difference>,
    ) -> Self {
        let omitted_differences = differences.len().saturating_sub(MAX_DIFFERENCES);
        differences.truncate(MAX_DIFFERENCES);
        Self {
            section,
            version,
            differences,
            omitted_differences,
        }
    }
}

/// The record of one revision: what changed, when and by whom.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Revision that this record describes.
    pub revision: Revision,
    /// Time of acceptance in milliseconds since the Unix epoch; used only for display.
    pub accepted_unix_ms: u64,
    /// Owner of the key that made the change, such as `team house-a`.
    pub author: Arc<str>,
    /// Identifier of the change, in the form `<author>:<identifier that the author chose>`.
    pub transaction_id: Arc<str>,
    /// Changes by section.
    pub changes: Vec<SectionChange>,
}
