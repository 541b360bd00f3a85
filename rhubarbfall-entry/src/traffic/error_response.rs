use std::sync::Arc;

use rhubarbfall_core::{Execution, RequestId, ResultCode};
use serde::Serialize;
use xitca_web::body::ResponseBody;
use xitca_web::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use xitca_web::http::{StatusCode, WebResponse};

/// An error response that the entry itself sends to a caller, with a numbered result code.
#[derive(Debug, Clone, Serialize)]
pub struct ErrorResponse {
    /// The result code, serialized as its number.
    pub code: ResultCode,
    /// The name of the result code.
    pub name: &'static str,
    /// Whether the request ran at an upstream.
    pub execution: Execution,
    /// Description of the error, in one sentence.
    pub message: Arc<str>,
    /// The request's identifier, if it could be parsed.
    pub request_id: Option<RequestId>,
    /// Delay after which a retry may succeed, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl ErrorResponse {
    /// Creates a response with the summary of `code` as its message.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            name: code.name(),
            execution: code.execution(),
            message: Arc::from(code.summary()),
            request_id: None,
            retry_after_s: None,
        }
    }

    /// Sets a message that is more specific than the summary of the code.
    #[must_use]
    pub fn message(mut self, message: impl Into<Arc<str>>) -> Self {
        self.message = message.into();
        self
    }

    /// Sets the request's identifier.
    #[must_use]
    pub fn request_id(mut self, request_id: impl Into<Option<RequestId>>) -> Self {
        self.request_id = request_id.into();
        self
    }

    /// Sets the delay after which a retry may succeed, in seconds.
    #[must_use]
    pub const fn retry_after_s(mut self, retry_after_s: u32) -> Self {
        self.retry_after_s = Some(retry_after_s);
        self
    }

    /// Converts this into an HTTP response with a JSON body.
    #[must_use]
    pub fn into_response(self) -> WebResponse {
        let json = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = WebResponse::new(ResponseBody::bytes(json));
        let status = StatusCode::from_u16(self.code.http_status());
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-rhubarbfall-code", HeaderValue::from(self.code.number()));
        let execution = self.execution.to_string();
        if let Ok(execution) = HeaderValue::from_str(&execution) {
            headers.insert("x-rhubarbfall-execution", execution);
        }
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
