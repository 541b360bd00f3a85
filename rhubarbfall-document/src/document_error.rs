use std::fmt;

use rhubarbfall_core::ResultCode;
use serde::{Deserialize, Serialize};

use crate::TextFault;

/// Maximum number of faults listed; a text that is not a document has one on every line.
pub(crate) const MAX_FAULTS: usize = 100;

/// The faults found in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentError {
    /// Whether the text is not valid TOML or is too large, so that its contents were not checked.
    pub is_syntax: bool,
    /// Faults in the order of the text, then those without a position; at most the first 100.
    pub faults: Vec<TextFault>,
}

impl DocumentError {
    pub(crate) fn new(is_syntax: bool, mut faults: Vec<TextFault>) -> Self {
        faults.sort_by_key(|fault| fault.position.map_or((1, None), |p| (0, Some(p))));
        faults.truncate(MAX_FAULTS);
        Self { is_syntax, faults }
    }

    /// Returns the result code that reports this error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        if self.is_syntax {
            ResultCode::DocumentSyntax
        } else {
            ResultCode::DocumentInvalid
        }
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentError {}
