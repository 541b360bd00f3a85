use std::fmt;
use std::sync::Arc;

use rhubarbfall_core::{Execution, ResultCode};
use serde::{Deserialize, Serialize};

use crate::ChangeError;

/// The response to a rejected operator request, with a numbered result code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorErrorResponse {
    /// Result code of the request.
    pub code: ResultCode,
    /// Whether the change was applied.
    pub execution: Execution,
    /// Description of the error.
    pub message: Arc<str>,
    /// Details of a rejected change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<ChangeError>,
}

impl OperatorErrorResponse {
    /// Creates a response with the default message of the code.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_core::ResultCode;
    /// use rhubarbfall_document::api::OperatorErrorResponse;
    ///
    /// let response = OperatorErrorResponse::new(ResultCode::NotFound);
    /// assert_eq!(response.to_string(), "4007 NotFound (not run): Nothing has this name.");
    /// ```
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            execution: code.execution(),
            message: Arc::from(code.summary()),
            detail: None,
        }
    }

    /// Replaces the message with a more specific one.
    #[must_use]
    pub fn message(mut self, message: impl Into<Arc<str>>) -> Self {
        self.message = message.into();
        self
    }
}

impl From<ChangeError> for OperatorErrorResponse {
    fn from(error: ChangeError) -> Self {
        Self {
            detail: Some(error.clone()),
            ..Self::new(error.code()).message(error.to_string())
        }
    }
}

impl fmt::Display for OperatorErrorResponse {
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

impl std::error::Error for OperatorErrorResponse {}
