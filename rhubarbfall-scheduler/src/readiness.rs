//! Tells the balancer whether this entry takes connections, and serves metrics.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use rhubarbfall_site::READY_PATH;

use crate::http_server::{Answer, Request};
use crate::node::Node;

/// An entry that has heard neither the store nor the owner for this long can serve nobody.
const ALONE_AFTER: Duration = Duration::from_millis(2_500);

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
    let heard_at = node.store_heard_at.get().max(node.owner_heard_at.get());
    node.config.borrow().version > 0
        && !node.is_stopping.get()
        && node.now().since(heard_at) <= ALONE_AFTER
}
