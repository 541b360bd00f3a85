use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::line_index::LineIndex;

/// A position in a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Line number, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
}

impl Position {
    /// Returns the position of a byte offset in a text.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_document::Position;
    ///
    /// assert_eq!(Position::of("a\nbc", 3), Position { line: 2, column: 2 });
    /// ```
    #[must_use]
    pub fn of(text: &str, offset_bytes: usize) -> Self {
        LineIndex::new(text).position(offset_bytes)
    }
}

/// A fault in a TOML text, such as a document or the settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextFault {
    /// Position in the text; `None` if the fault is in a section that the text does not contain.
    pub position: Option<Position>,
    /// Path of the field, such as `fleet.queue[2].service`; empty for syntax errors.
    pub path: Arc<str>,
    /// Description of the fault.
    pub message: Arc<str>,
}

impl fmt::Display for TextFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.position {
            Some(Position { line, column }) => write!(f, "line {line}, column {column}: ")?,
            None => f.write_str("in a section outside this text: ")?,
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}
