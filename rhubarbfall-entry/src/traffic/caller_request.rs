use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{QueueId, RequestId, ResultCode};
use xitca_web::http::HeaderMap;

use super::ErrorResponse;
use crate::dispatch::WorkClass;

/// Path prefix of the queues.
const QUEUE_PATH: &str = "/v1/queues/";

/// The parsed path and headers of a caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The queue that the request is sent to.
    pub queue: QueueId,
    /// The request's identifier, which the upstream echoes in its response.
    pub request_id: RequestId,
    /// The API key, if the caller sent one.
    pub key: Option<Arc<str>>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The priority class; urgent unless the caller sets it.
    pub class: WorkClass,
    /// How long the caller waits from the arrival of the request, if the caller sets it.
    pub deadline: Option<Duration>,
}

impl CallerRequest {
    /// Parses the path and the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BadRequest`] with the name of a malformed or missing header, or
    /// [`ResultCode::UnknownQueue`] if the path does not name a queue.
    pub fn parse(path: &str, headers: &HeaderMap) -> Result<Self, ErrorResponse> {
        let queue = path
            .strip_prefix(QUEUE_PATH)
            .and_then(|name| name.parse().ok())
            .ok_or_else(|| ErrorResponse::new(ResultCode::UnknownQueue))?;
        let request_id = parse_header(headers, "x-request-id")?
            .ok_or_else(|| bad_header("x-request-id", "is missing"))?;
        let class = match text_header(headers, "x-rhubarbfall-class")? {
            None | Some("urgent") => WorkClass::Urgent,
            Some("batch") => WorkClass::Batch,
            Some(_) => return Err(bad_header("x-rhubarbfall-class", "must be urgent or batch")),
        };
        let is_idempotent = parse_header(headers, "x-rhubarbfall-idempotent")?;
        let deadline_ms = parse_header(headers, "x-rhubarbfall-deadline-ms")?;
        Ok(Self {
            queue,
            request_id,
            key: text_header(headers, "x-rhubarbfall-key")?.map(Arc::from),
            is_idempotent: is_idempotent.unwrap_or(false),
            class,
            deadline: deadline_ms.map(Duration::from_millis),
        })
    }
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ErrorResponse> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header(name, "is repeated"));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| bad_header(name, "contains characters other than visible ASCII"))
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, ErrorResponse> {
    let text = text_header(headers, name)?;
    text.map(|text| text.parse().map_err(|_| bad_header(name, "is malformed")))
        .transpose()
}

fn bad_header(name: &str, fault: &str) -> ErrorResponse {
    ErrorResponse::new(ResultCode::BadRequest).message(format!("header {name} {fault}"))
}
