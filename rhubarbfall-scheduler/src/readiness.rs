//! Readiness checks of the load balancer, and the metrics endpoint.

use std::rc::Rc;

use http::StatusCode;
use rhubarbfall_site::READY_PATH;

use crate::http_server::{ServerRequest, ServerResponse};
use crate::node::Node;
use crate::processor_time;

/// Answers a readiness check: 200 if this entry accepts connections, 503 otherwise.
pub(crate) async fn serve(node: Rc<Node>, request: ServerRequest) -> ServerResponse {
    if request.path != READY_PATH {
        return ServerResponse::empty(StatusCode::NOT_FOUND);
    }
    if is_ready(&node) {
        ServerResponse::empty(StatusCode::OK)
    } else {
        ServerResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Serves the metrics in the Prometheus text format.
pub(crate) async fn serve_metrics(node: Rc<Node>, _request: ServerRequest) -> ServerResponse {
    processor_time::export();
    match &node.metrics {
        Some(metrics) => ServerResponse::new(StatusCode::OK, metrics.render()),
        None => ServerResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn is_ready(node: &Node) -> bool {
    node.config.borrow().version > 0 && !node.is_stopping.get() && !node.is_isolated()
}
