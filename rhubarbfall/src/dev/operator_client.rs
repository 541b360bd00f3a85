use std::net::SocketAddr;

use http::{Method, StatusCode};
use rhubarbfall_testing::rig::{Caller, TestRequest};

use super::example::OPERATOR_KEY;

/// Applies the first document of the fleet; returns whether it was accepted.
pub(super) async fn apply_first_document(
    caller: &Caller,
    operator_address: SocketAddr,
    text: String,
) -> bool {
    let request = TestRequest::new(Method::PUT, operator_address, "/v1/document");
    send(caller, request, "first-document", text).await
}

/// Applies a change of document sections; returns whether it was accepted.
pub(super) async fn apply_change(
    caller: &Caller,
    operator_address: SocketAddr,
    id: &str,
    text: String,
) -> bool {
    let request = TestRequest::new(Method::POST, operator_address, "/v1/document");
    send(caller, request, id, text).await
}

async fn send(caller: &Caller, request: TestRequest, id: &str, text: String) -> bool {
    let request = request
        .key(OPERATOR_KEY)
        .header("x-transaction-id", id)
        .body(text);
    match caller.send(request).await {
        Ok(answer) if answer.status == StatusCode::OK => true,
        other => {
            eprintln!("change {id} was not accepted: {other:?}");
            false
        }
    }
}

/// Requests the move of a VM to another pool; returns whether the request was recorded.
pub(super) async fn request_move(
    caller: &Caller,
    operator_address: SocketAddr,
    vm: &str,
    pool: &str,
) -> bool {
    let body = serde_json::json!({ "vm": vm, "pool": pool }).to_string();
    let request = TestRequest::new(Method::POST, operator_address, "/v1/vms/pool");
    send(caller, request, "move", body).await
}

/// Returns whether an entry reports that it is ready.
pub(super) async fn is_ready(caller: &Caller, operator_address: SocketAddr) -> bool {
    let request = TestRequest::new(Method::GET, operator_address, "/ready");
    let answer = caller.send(request).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}
