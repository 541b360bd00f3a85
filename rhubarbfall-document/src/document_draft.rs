use std::sync::Arc;

use rhubarbfall_core::{LiteMap, Revision, SectionVersion};

use crate::document_error::DocumentError;
use crate::limits::MAX_DOCUMENT_BYTES;
use crate::line_index::LineIndex;
use crate::read::read_draft;
use crate::table_reader::{Findings, LocatedFault, TableReader};
use crate::text_fault::{Position, TextFault};
use crate::{Document, Section, SectionId};

/// The sections of a text, parsed but not yet checked against the rest of the document.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::{DocumentDraft, SectionId};
///
/// let draft = DocumentDraft::parse(
///     "versions.fleet = 7\n[[fleet.pool]]\nid = 'a'\nmax_unavailable_vms = 1",
/// )?;
/// assert_eq!(draft.base_version(&SectionId::Fleet).map(|v| v.get()), Some(7));
///
/// let error = DocumentDraft::parse("[[fleet.pool]]\nid = 'a'\nmax_unavailable = 1").unwrap_err();
/// assert_eq!(error.faults.len(), 2);
/// assert_eq!(error.faults[1].position.map(|p| p.line), Some(3));
/// # Ok::<(), rhubarbfall_document::DocumentError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct DocumentDraft {
    pub(crate) revision: Revision,
    pub(crate) versions: LiteMap<SectionId, SectionVersion>,
    pub(crate) sections: LiteMap<SectionId, Section>,
    pub(crate) positions: Vec<(String, Position)>,
}

impl DocumentDraft {
    /// Parses a text and finds every fault that does not depend on the rest of the document.
    ///
    /// # Errors
    ///
    /// Returns the faults, each with its line and column.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let (draft, faults) = Self::parse_recoverable(text)?;
        if faults.is_empty() {
            Ok(draft)
        } else {
            Err(DocumentError::new(false, faults))
        }
    }

    /// Parses a text and returns what could be read, together with the faults.
    ///
    /// Fails only if the text is too large or its syntax is invalid.
    pub(crate) fn parse_recoverable(text: &str) -> Result<(Self, Vec<TextFault>), DocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(too_large(text.len()));
        }
        let lines = LineIndex::new(text);
        let (table, errors) = toml::de::DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let faults = errors.iter().map(|error| syntax_fault(&lines, error));
            return Err(DocumentError::new(true, faults.collect()));
        }
        let mut findings = Findings::default();
        let mut draft = read_draft(TableReader::new("", table), &mut findings);
        let fields = findings.field_offsets.into_iter();
        draft.positions = fields
            .map(|(path, at)| (path, lines.position(at)))
            .collect();
        draft.positions.sort();
        let locate = |found: LocatedFault| TextFault {
            position: Some(lines.position(found.offset_bytes)),
            path: Arc::from(found.path),
            message: Arc::from(found.message),
        };
        Ok((draft, findings.faults.into_iter().map(locate).collect()))
    }

    /// Returns the sections that the text contains.
    pub fn sections(&self) -> impl Iterator<Item = (&SectionId, &Section)> {
        self.sections.iter()
    }

    /// Returns the version of a section that the text was edited from, if the text states it.
    pub fn base_version(&self, section: &SectionId) -> Option<SectionVersion> {
        self.versions.get(section).copied()
    }

    /// Sets the version that a section was edited from.
    pub fn set_base_version(&mut self, section: SectionId, version: SectionVersion) {
        self.versions.insert(section, version);
    }

    /// Returns a document that contains only the sections and the revision of the text.
    #[must_use]
    pub fn to_document(&self) -> Document {
        let mut document = Document {
            revision: self.revision,
            ..Document::default()
        };
        for (id, section) in self.sections() {
            document.set_section(id, section.clone());
        }
        document
    }

    /// Returns the position of a field or, if the text does not contain the field, of the nearest
    /// enclosing table.
    pub(crate) fn position(&self, path: &str) -> Option<Position> {
        let mut path = path;
        loop {
            let found = self
                .positions
                .binary_search_by(|(p, _)| p.as_str().cmp(path));
            if let Ok(index) = found {
                return Some(self.positions[index].1);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }
}

fn too_large(length_bytes: usize) -> DocumentError {
    let message = format!(
        "a document must have at most {MAX_DOCUMENT_BYTES} bytes, this one has {length_bytes}"
    );
    let fault = TextFault {
        position: Some(Position { line: 1, column: 1 }),
        path: Arc::from(""),
        message: Arc::from(message),
    };
    DocumentError::new(true, vec![fault])
}

fn syntax_fault(lines: &LineIndex<'_>, error: &toml::de::Error) -> TextFault {
    let offset_bytes = error.span().map_or(0, |span| span.start);
    TextFault {
        position: Some(lines.position(offset_bytes)),
        path: Arc::from(""),
        message: Arc::from(error.message().trim()),
    }
}
