use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::upstream_poll;
use crate::fleet::{run_controller, run_registration, withdraw};
use crate::routing::{run_claims, run_health_checks};
use crate::{Phase, Shared, admission, membership};

/// Interval at which a stopping process checks whether its requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last bytes of a response to reach the socket after the end of its body.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Runs the control tasks until a planned stop is complete.
///
/// # Errors
///
/// Returns an I/O error if the runtime or the signal handler cannot be set up.
pub fn run(
    shared: &Arc<Shared>,
    peers: std::net::TcpListener,
    handles_signals: bool,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = LocalSet::new();
    tasks.spawn_local(membership::run(
        Arc::clone(shared),
        peers,
        runtime.handle().clone(),
    ));
    tasks.spawn_local(upstream_poll::run(Arc::clone(shared)));
    tasks.spawn_local(admission::run(Arc::clone(shared)));
    tasks.spawn_local(run_claims(Arc::clone(shared)));
    tasks.spawn_local(run_health_checks(Arc::clone(shared)));
    tasks.spawn_local(run_registration(Arc::clone(shared)));
    tasks.spawn_local(run_controller(Arc::clone(shared)));
    tasks.block_on(&runtime, async {
        if handles_signals {
            let mut terminate = signal(SignalKind::terminate())?;
            let drain_requested = wait_for_drain(shared);
            tokio::select! {
                _ = terminate.recv() => shared.lifecycle.advance(Phase::Draining),
                () = drain_requested => {}
            }
        } else {
            wait_for_drain(shared).await;
        }
        stop(shared).await;
        Ok(())
    })
}

async fn wait_for_drain(shared: &Shared) {
    while shared.lifecycle.phase() < Phase::Draining {
        sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Rejects new requests after the load balancer's grace period, waits for those in flight, and
/// hands over the rights.
async fn stop(shared: &Arc<Shared>) {
    let settings = &shared.settings.stop;
    log::info!("event=stop phase=draining");
    sleep(Duration::from_millis(settings.balancer_grace_ms)).await;
    shared.lifecycle.advance(Phase::Stopping);
    let deadline = shared.clock.now() + Duration::from_millis(settings.longest_request_ms);
    while shared.lifecycle.in_flight() > 0 && shared.clock.now() < deadline {
        sleep(STOP_POLL_INTERVAL).await;
    }
    sleep(FLUSH_DELAY).await;
    admission::hand_over_rights(shared).await;
    let in_flight = shared.lifecycle.in_flight();
    withdraw(shared).await;
    log::info!("event=stop phase=stopped in_flight={in_flight}");
}
