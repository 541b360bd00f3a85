use std::sync::Arc;

use rhubarbfall_core::{Revision, SectionVersion};
use serde::{Deserialize, Serialize};

use crate::{Difference, SectionId};

/// How many differences of one section a record keeps, so that a record stays small.
const MAX_DIFFERENCES: usize = 50;

/// How a section changed in one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChange {
    /// The section.
    pub section: SectionId,
    /// Its version from this revision on.
    pub version: SectionVersion,
    /// The fields that changed.
    pub differences: Vec<Difference>,
    /// How many more fields changed than the record keeps.
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

/// What one revision changed, when and by whom.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// The revision.
    pub revision: Revision,
    /// When it was accepted, in milliseconds since the Unix epoch, for display only.
    pub accepted_unix_ms: u64,
    /// Whose key made the change.
    pub author: Arc<str>,
    /// The identifier that the author gave the change.
    pub transaction_id: Arc<str>,
    /// The sections that changed.
    pub changes: Vec<SectionChange>,
}
