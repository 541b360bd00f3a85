use rhubarbfall_core::ResultCode;
use rhubarbfall_document::api::OperatorErrorResponse;
use serde::Serialize;
use xitca_web::body::ResponseBody;
use xitca_web::http::header::{CONTENT_TYPE, HeaderValue};
use xitca_web::http::{StatusCode, WebResponse};

/// Builds the response of an endpoint: a value, or an error with its result code.
pub(crate) fn respond<T: Serialize>(result: Result<T, OperatorErrorResponse>) -> WebResponse {
    match result {
        Ok(value) => json_response(ResultCode::Completed, &value),
        Err(error) => {
            log::info!("event=operator-refused code={}", error.code.number());
            json_response(error.code, &error)
        }
    }
}

/// Builds a JSON response with the HTTP status of `code`.
pub(super) fn json_response(code: ResultCode, value: &impl Serialize) -> WebResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    let status = StatusCode::from_u16(code.http_status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert("x-rhubarbfall-code", HeaderValue::from(code.number()));
    response
}
