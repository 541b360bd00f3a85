use std::fmt;
use std::sync::Arc;

use rhubarbfall_core::{Execution, ResultCode};
use serde::{Deserialize, Serialize};

use crate::ChangeError;

/// The answer to a request of an operator that is refused, with a numbered result code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// The result code.
    pub code: ResultCode,
    /// Whether the change was made.
    pub execution: Execution,
    /// What happened.
    pub message: Arc<str>,
    /// What exactly is wrong with a change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<ChangeError>,
}

impl ErrorAnswer {
    /// Creates an answer with the code's own message.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_core::ResultCode;
    /// use rhubarbfall_document::api::ErrorAnswer;
    ///
    /// let answer = ErrorAnswer::new(ResultCode::NotFound);
    /// assert_eq!(answer.to_string(), "4007 NotFound (not run): Nothing has this name.");
    /// ```
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            execution: code.execution(),
            message: Arc::from(code.summary()),
            detail: None,
        }
    }

    /// Says more precisely what happened.
    #[must_use]
    pub fn message(mut self, message: impl Into<Arc<str>>) -> Self {
        self.message = message.into();
        self
    }
}

impl From<ChangeError> for ErrorAnswer {
    fn from(error: ChangeError) -> Self {
        Self {
            detail: Some(error.clone()),
            ..Self::new(error.code()).message(error.to_string())
        }
    }
}

impl fmt::Display for ErrorAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (number, name) = (self.code.number(), self.code.name());
        write!(
            f,
            "{number} {name} ({}): {}",
            self.execution,
            self.message.trim_end()
        )
    }
}

impl std::error::Error for ErrorAnswer {}
