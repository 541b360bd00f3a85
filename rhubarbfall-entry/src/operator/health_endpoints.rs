use rhubarbfall_core::ResultCode;
use xitca_web::body::ResponseBody;
use xitca_web::handler::state::StateRef;
use xitca_web::http::{StatusCode, WebResponse};

use super::response::json_response;
use super::{OperatorContext, StateDump};
use crate::Phase;

/// Liveness check: succeeds while the process runs.
pub(super) async fn live() -> &'static str {
    "live\n"
}

/// Readiness check: succeeds while the load balancer may send requests.
pub(super) async fn ready(StateRef(context): StateRef<'_, OperatorContext>) -> WebResponse {
    let is_ready = context.shared.lifecycle.phase() == Phase::Ready;
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = WebResponse::new(ResponseBody::bytes("ready\n"));
    *response.status_mut() = status;
    response
}

/// Returns the metrics in the Prometheus text format; empty if this process records none.
pub(super) async fn metrics(StateRef(context): StateRef<'_, OperatorContext>) -> String {
    context
        .metrics
        .as_ref()
        .map(metrics_exporter_prometheus::PrometheusHandle::render)
        .unwrap_or_default()
}

/// Returns the state dump as JSON.
pub(super) async fn state(StateRef(context): StateRef<'_, OperatorContext>) -> WebResponse {
    json_response(ResultCode::Completed, &StateDump::of(&context.shared))
}
