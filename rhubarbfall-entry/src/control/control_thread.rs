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

/// How often a stopping process looks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// How long the last bytes of an answer may take from its body's end to the socket.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Runs the control duties until a planned stop is complete.
///
/// # Errors
///
/// Any error of the system when the runtime or the signal handler cannot be set up.
pub fn run(
    shared: &Arc<Shared>,
    peers: std::net::TcpListener,
    handles_signals: bool,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let duties = LocalSet::new();
    duties.spawn_local(membership::run(
        Arc::clone(shared),
        peers,
        runtime.handle().clone(),
    ));
    duties.spawn_local(upstream_poll::run(Arc::clone(shared)));
    duties.spawn_local(admission::run(Arc::clone(shared)));
    duties.spawn_local(run_claims(Arc::clone(shared)));
    duties.spawn_local(run_health_checks(Arc::clone(shared)));
    duties.spawn_local(run_registration(Arc::clone(shared)));
    duties.spawn_local(run_controller(Arc::clone(shared)));
    duties.block_on(&runtime, async {
        if handles_signals {
            let mut terminate = signal(SignalKind::terminate())?;
            let begun_elsewhere = wait_for_drain(shared);
            tokio::select! {
                _ = terminate.recv() => shared.lifecycle.advance(Phase::Draining),
                () = begun_elsewhere => {}
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
        sleep(STOP_POLL).await;
    }
}

/// Ends the process without cutting off a request.
async fn stop(shared: &Arc<Shared>) {
    let settings = &shared.settings.stop;
    log::info!("event=stop phase=draining");
    sleep(Duration::from_millis(settings.balancer_grace_ms)).await;
    shared.lifecycle.advance(Phase::Stopping);
    let deadline = shared.clock.now() + Duration::from_millis(settings.longest_request_ms);
    while shared.lifecycle.in_flight() > 0 && shared.clock.now() < deadline {
        sleep(STOP_POLL).await;
    }
    sleep(FLUSH_TIME).await;
    admission::hand_over_rights(shared).await;
    let in_flight = shared.lifecycle.in_flight();
    withdraw(shared).await;
    log::info!("event=stop phase=stopped in_flight={in_flight}");
}
