use rhubarbfall_core::Revision;
use serde::{Deserialize, Serialize};

use crate::SectionId;

/// How many revisions the head row names, so that a reader that polls it stays cheap.
pub(crate) const MAX_RECENT_CHANGES: usize = 8;

/// How many sections of one revision the head row names; a reader of more is faster with a scan.
pub(crate) const MAX_RECENT_SECTIONS: usize = 8;

/// The one row that every acceptance writes and every entry polls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// The newest revision.
    pub revision: Revision,
    /// The newest revisions, in ascending order; a reader that knows one of them reads only the
    /// sections that changed since.
    pub recent: Vec<RecentChange>,
}

impl HeadRow {
    /// Returns the sections that changed after a revision, or nothing when it is too long ago.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_core::Revision;
    /// use rhubarbfall_document::{HeadRow, RecentChange, SectionId};
    ///
    /// let head = HeadRow {
    ///     revision: Revision::new(8),
    ///     recent: vec![RecentChange {
    ///         revision: Revision::new(8),
    ///         sections: vec![SectionId::Keys],
    ///     }],
    /// };
    /// assert_eq!(head.changed_since(Revision::new(7)), Some(vec![SectionId::Keys]));
    /// assert_eq!(head.changed_since(Revision::new(5)), None);
    /// ```
    #[must_use]
    pub fn changed_since(&self, known: Revision) -> Option<Vec<SectionId>> {
        if known >= self.revision {
            return Some(Vec::new());
        }
        let first = self
            .recent
            .partition_point(|change| change.revision <= known);
        let newer = &self.recent[first..];
        if newer.first()?.revision != known.next() {
            return None;
        }
        let sections = newer.iter().flat_map(|change| change.sections.iter());
        let mut sections: Vec<SectionId> = sections.cloned().collect();
        sections.sort();
        sections.dedup();
        Some(sections)
    }
}

/// The sections that one revision changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// The revision.
    pub revision: Revision,
    /// The sections that changed.
    pub sections: Vec<SectionId>,
}
