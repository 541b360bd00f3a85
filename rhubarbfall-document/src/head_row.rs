use rhubarbfall_core::Revision;
use serde::{Deserialize, Serialize};

use crate::SectionId;

/// Maximum number of revisions listed in the head row, so that polling it stays cheap.
pub(crate) const MAX_RECENT_CHANGES: usize = 8;

/// Maximum number of sections listed for one revision; reading more is faster with a scan.
pub(crate) const MAX_RECENT_SECTIONS: usize = 8;

/// The content of the head row, which every accepted change writes and every entry polls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Newest revision.
    pub revision: Revision,
    /// Changes of the newest revisions, in ascending order; a reader that has one of these
    /// revisions reads only the sections that changed after it.
    pub recent: Vec<RecentChange>,
}

impl HeadRow {
    /// Returns the sections that changed after a revision, or `None` if it is too old.
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

/// The sections that changed in one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// Revision in which the sections changed.
    pub revision: Revision,
    /// Sections that changed.
    pub sections: Vec<SectionId>,
}
