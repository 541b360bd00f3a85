use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::line_index::LineIndex;

/// Where in a text a fault is; both numbers start at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The line.
    pub line: u32,
    /// The column, in characters.
    pub column: u32,
}

impl Position {
    /// Returns the position of a byte in a text.
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

/// One thing that is wrong in a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextFault {
    /// Where it stands, unless it is in a section that the text does not hold.
    pub position: Option<Position>,
    /// The path of the field, such as `fleet.queue[2].service`; empty for a fault of the syntax.
    pub path: Arc<str>,
    /// What is wrong.
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
