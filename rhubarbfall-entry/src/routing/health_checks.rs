use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{LiteMap, UpstreamId};
use rhubarbfall_routing::HealthReport;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::Shared;
use crate::traffic::{Connection, check_health};

/// Interval at which due checks are started and the dispatcher is updated.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for the response to a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections for health checks, separate from those that carry requests.
type IdleConnections = Rc<RefCell<LiteMap<UpstreamId, Connection>>>;

/// Checks the health of upstreams until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let idle = IdleConnections::default();
    loop {
        for (upstream, address) in shared.upstreams.take_due_checks() {
            let idle = Rc::clone(&idle);
            spawn_local(check(Arc::clone(&shared), idle, upstream, address));
        }
        shared.upstreams.update_dispatcher(&shared);
        sleep(POLL_INTERVAL).await;
    }
}

async fn check(
    shared: Arc<Shared>,
    idle: IdleConnections,
    upstream: UpstreamId,
    address: SocketAddr,
) {
    let sent_at = shared.clock.now();
    let existing = idle.borrow_mut().remove(&upstream);
    if let Some(mut connection) = existing
        && let Some(report) = check_health(&mut connection, CHECK_TIMEOUT).await
    {
        idle.borrow_mut().insert(upstream.clone(), connection);
        shared.upstreams.on_health(&upstream, sent_at, report);
        return;
    }
    // Only a check on a new connection shows whether the upstream or the old connection failed.
    let sent_at = shared.clock.now();
    let report = match shared.connections.open(address).await {
        Ok(mut connection) => {
            let report = check_health(&mut connection, CHECK_TIMEOUT).await;
            idle.borrow_mut().insert(upstream.clone(), connection);
            report.unwrap_or(HealthReport::Silent)
        }
        Err(_) => HealthReport::Silent,
    };
    shared.upstreams.on_health(&upstream, sent_at, report);
}
