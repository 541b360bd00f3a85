use std::net::SocketAddr;

use http::{Method, StatusCode};
use rhubarbfall_testing::rig::{Caller, Request};

use super::example::OPERATOR_KEY;

/// Applies a whole document as the operator; returns whether it was accepted.
pub(super) async fn apply_document(caller: &Caller, operators: SocketAddr, text: String) -> bool {
    let request = Request::new(Method::PUT, operators, "/v1/document")
        .key(OPERATOR_KEY)
        .body(text);
    let answer = caller.send(request).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Returns whether an entry says that it is ready.
pub(super) async fn is_ready(caller: &Caller, operators: SocketAddr) -> bool {
    let request = Request::new(Method::GET, operators, "/ready");
    let answer = caller.send(request).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}
