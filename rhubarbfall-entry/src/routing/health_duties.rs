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
use crate::traffic::{Connection, ask_health};

/// How often due checks are looked for and the dispatcher is told of changes.
const TICK: Duration = Duration::from_millis(50);

/// How long one answer to a check may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The connections on which checks are made, apart from those that carry requests.
type Checkers = Rc<RefCell<LiteMap<UpstreamId, Connection>>>;

/// Checks the health of upstreams until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let checkers = Checkers::default();
    loop {
        for (upstream, address) in shared.upstreams.take_due_checks() {
            let checkers = Rc::clone(&checkers);
            spawn_local(check(Arc::clone(&shared), checkers, upstream, address));
        }
        shared.upstreams.refresh(&shared);
        sleep(TICK).await;
    }
}

async fn check(shared: Arc<Shared>, checkers: Checkers, upstream: UpstreamId, address: SocketAddr) {
    let asked_at = shared.clock.now();
    let kept = checkers.borrow_mut().remove(&upstream);
    if let Some(mut connection) = kept
        && let Some(report) = ask_health(&mut connection, CHECK_TIMEOUT).await
    {
        checkers.borrow_mut().insert(upstream.clone(), connection);
        shared.upstreams.on_health(&upstream, asked_at, report);
        return;
    }
    // Only a new connection tells whether the upstream or the old connection is at fault.
    let asked_at = shared.clock.now();
    let report = match shared.connections.open(address).await {
        Ok(mut connection) => {
            let report = ask_health(&mut connection, CHECK_TIMEOUT).await;
            checkers.borrow_mut().insert(upstream.clone(), connection);
            report.unwrap_or(HealthReport::Silent)
        }
        Err(_) => HealthReport::Silent,
    };
    shared.upstreams.on_health(&upstream, asked_at, report);
}
