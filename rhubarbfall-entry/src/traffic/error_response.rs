use std::sync::Arc;

use rhubarbfall_core::{Execution, RequestId, ResultCode};
use serde::Serialize;
use xitca_web::body::ResponseBody;
use xitca_web::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use xitca_web::http::{StatusCode, WebResponse};

/// An answer that the entry gives itself, with a numbered result code.
#[derive(Debug, Clone, Serialize)]
pub struct ErrorResponse {
    /// The number of the result code.
    pub code: ResultCode,
    /// The name of the result code.
    pub name: &'static str,
    /// Whether the work ran.
    pub execution: Execution,
    /// What happened, in one sentence.
    pub message: Arc<str>,
    /// The request, when its identifier could be read.
    pub request_id: Option<RequestId>,
    /// After how many seconds another try may succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl ErrorResponse {
    /// Creates a refusal with the code's own message.
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

    /// Says more precisely what happened.
    #[must_use]
    pub fn message(mut self, message: impl Into<Arc<str>>) -> Self {
        self.message = message.into();
        self
    }

    /// Names the request.
    #[must_use]
    pub fn request_id(mut self, request_id: impl Into<Option<RequestId>>) -> Self {
        self.request_id = request_id.into();
        self
    }

    /// Says after how many seconds another try may succeed.
    #[must_use]
    pub const fn retry_after_s(mut self, retry_after_s: u32) -> Self {
        self.retry_after_s = Some(retry_after_s);
        self
    }

    /// Makes the HTTP answer.
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
