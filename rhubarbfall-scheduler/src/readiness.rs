//! Tells the balancer whether this entry takes connections, and serves metrics.

use std::rc::Rc;

use http::StatusCode;
use rhubarbfall_site::READY_PATH;

use crate::http_server::{Answer, Request};
use crate::node::Node;

/// Answers the balancer.
pub(crate) async fn serve(node: Rc<Node>, request: Request) -> Answer {
    if request.path != READY_PATH {
        return Answer::empty(StatusCode::NOT_FOUND);
    }
    if is_ready(&node) {
        Answer::empty(StatusCode::OK)
    } else {
        Answer::empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Serves the counters and histograms as text.
pub(crate) async fn serve_metrics(node: Rc<Node>, _request: Request) -> Answer {
    match &node.metrics {
        Some(metrics) => Answer::new(StatusCode::OK, metrics.render()),
        None => Answer::empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn is_ready(node: &Node) -> bool {
    node.config.borrow().version > 0 && !node.is_stopping.get() && !node.is_alone()
}
