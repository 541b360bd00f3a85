use rhubarbfall_core::{LiteMap, Revision, SectionVersion};
use serde::{Deserialize, Serialize};

use crate::{Document, SectionId};

/// The source of a view of the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ViewSource {
    /// The platform's table; the view is the newest accepted revision.
    Table,
    /// The answering entry, because the table did not respond; the view is the revision in force
    /// there.
    InForce,
}

/// The part of the document that the owner of a key may see.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentView {
    /// Source of the view.
    pub source: ViewSource,
    /// Revision of the view.
    pub revision: Revision,
    /// Versions of the sections; empty if the view comes from the entry.
    pub versions: LiteMap<SectionId, SectionVersion>,
    /// Visible sections of the document.
    pub document: Document,
}
