use std::collections::VecDeque;

use rhubarbfall_core::Revision;
use rhubarbfall_document::Document;
use serde::{Deserialize, Serialize};

use super::Patch;

/// Number of deltas kept, which covers a burst of 20 changes per second for 12 s.
const MAX_DELTAS: usize = 256;

/// Difference between one revision of the document and a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// Revision that the delta applies to.
    pub base: Revision,
    /// Revision that results.
    pub revision: Revision,
    /// Patch of the document's JSON value.
    pub patch: Patch,
}

/// Bounded log of the latest deltas between documents in force in this process, oldest first.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::Revision;
/// use rhubarbfall_document::Document;
/// use rhubarbfall_membership::DeltaLog;
///
/// let before = Document::default();
/// let after = Document { revision: Revision::new(1), ..Document::default() };
/// let mut log = DeltaLog::default();
/// log.record(&before, &after);
/// let deltas = log.since(Revision::new(0)).expect("the delta is in the log");
/// assert_eq!(DeltaLog::catch_up(&before, &deltas), Some(vec![after]));
/// ```
#[derive(Debug, Clone, Default)]
pub struct DeltaLog {
    deltas: VecDeque<DocumentDelta>,
}

impl DeltaLog {
    /// Records the delta between two documents that were in force one after the other.
    pub fn record(&mut self, before: &Document, after: &Document) {
        let values = (serde_json::to_value(before), serde_json::to_value(after));
        let (Ok(before_value), Ok(after_value)) = values else {
            return;
        };
        let Some(patch) = Patch::between(&before_value, &after_value) else {
            return;
        };
        if self.deltas.len() == MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(DocumentDelta {
            base: before.revision,
            revision: after.revision,
            patch,
        });
    }

    /// Returns the deltas from a revision to the newest, or `None` if the log lacks one of them.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Option<Vec<DocumentDelta>> {
        let first = self
            .deltas
            .iter()
            .position(|delta| delta.base == revision)?;
        let deltas: Vec<_> = self.deltas.iter().skip(first).cloned().collect();
        let is_contiguous = deltas
            .windows(2)
            .all(|pair| pair[0].revision == pair[1].base);
        is_contiguous.then_some(deltas)
    }

    /// Applies deltas and returns each document that results, or `None` if one does not apply.
    ///
    /// Deltas of revisions older than the document's are skipped.
    #[must_use]
    pub fn catch_up(document: &Document, deltas: &[DocumentDelta]) -> Option<Vec<Document>> {
        let mut value = serde_json::to_value(document).ok()?;
        let mut revision = document.revision;
        let mut documents = Vec::new();
        for delta in deltas
            .iter()
            .skip_while(|delta| delta.base < document.revision)
        {
            if delta.base != revision || !delta.patch.apply(&mut value) {
                return None;
            }
            let document = Document::deserialize(&value).ok()?;
            if document.revision != delta.revision {
                return None;
            }
            revision = delta.revision;
            documents.push(document);
        }
        Some(documents)
    }
}
