use rhubarbfall_core::{LiteMap, Revision, SectionVersion};
use serde::{Deserialize, Serialize};

use crate::{Document, SectionId};

/// Where a view of the document comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ViewSource {
    /// The platform's table: the newest accepted revision.
    Table,
    /// The entry that answers: the revision in force there, since the table did not answer.
    InForce,
}

/// The part of the document that the owner of a key may see.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentView {
    /// Where the view comes from.
    pub source: ViewSource,
    /// The revision.
    pub revision: Revision,
    /// The versions of the sections; empty when only the revision in force is known.
    pub versions: LiteMap<SectionId, SectionVersion>,
    /// The sections.
    pub document: Document,
}
