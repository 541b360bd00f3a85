//! Start, reload and planned stop of the process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;
use rhubarbfall_core::{SharedClock, SystemClock};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::node::Node;
use crate::processor_time::{Activity, metered};
use crate::settings::SchedulerProcessSettings;
use crate::supervision::{log_panics, spawn_duty};
use crate::{
    callers, cancel_delivery, http_server, logging, operator_feed, ownership, peer, peer_status,
    readiness, telemetry,
};

/// Part of the stop grace period that is left unused, so that the process exits before it is
/// killed.
const GRACE_RESERVE: Duration = Duration::from_secs(1);

/// Time for which a stopping entry accepts new connections. The load balancer checks readiness once
/// a second and removes an entry after two failed checks.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Interval at which a stopping entry checks whether requests are in flight.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a scheduler process until it receives SIGTERM or `run_for` has elapsed.
///
/// # Errors
///
/// Returns the I/O error if the process cannot bind its listeners or install signal handlers.
pub fn run(settings: SchedulerProcessSettings, run_for: Option<Duration>) -> std::io::Result<()> {
    let clock: SharedClock = Arc::new(SystemClock::new());
    let level = settings.log_level.parse().unwrap_or(LevelFilter::Info);
    if let Err(error) = logging::start(level, Arc::clone(&clock)) {
        eprintln!("event=log_unavailable error={error}");
    }
    let node = Rc::new(Node::new(settings, clock, telemetry::install()));
    log_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(node, run_for))
}

async fn serve(node: Rc<Node>, run_for: Option<Duration>) -> std::io::Result<()> {
    let settings = node.settings.clone();
    log::info!(
        "event=started entry={} zone={} incarnation={}",
        settings.entry,
        settings.availability_zone,
        node.incarnation
    );
    spawn_local(http_server::serve(
        Rc::clone(&node),
        bind(settings.callers).await?,
        Activity::Callers,
        callers::serve,
    ));
    spawn_local(http_server::serve(
        Rc::clone(&node),
        bind(settings.readiness).await?,
        Activity::Callers,
        readiness::serve,
    ));
    spawn_local(http_server::serve(
        Rc::clone(&node),
        bind(settings.peers).await?,
        Activity::Peers,
        peer::serve,
    ));
    spawn_local(http_server::serve(
        Rc::clone(&node),
        bind(settings.metrics).await?,
        Activity::Peers,
        readiness::serve_metrics,
    ));
    spawn_duties(&node);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let run_time_elapsed = async {
        match run_for {
            Some(time) => tokio::time::sleep(time).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(run_time_elapsed);
    loop {
        tokio::select! {
            _ = reload.recv() => log::info!("event=reloaded changed=none"),
            _ = terminate.recv() => break,
            () = &mut run_time_elapsed => break,
        }
    }
    stop(&node).await;
    Ok(())
}

/// Starts the duties that an entry has whether it owns submissions or not.
fn spawn_duties(node: &Rc<Node>) {
    let of = |node: &Rc<Node>| (Rc::clone(node), node.clock.clone());
    let (duty_node, clock) = of(node);
    spawn_duty("cancel_delivery", move || {
        let work = cancel_delivery::run(Rc::clone(&duty_node));
        metered(Activity::Callers, clock.clone(), work)
    });
    let (duty_node, clock) = of(node);
    spawn_duty("operator_feed", move || {
        let work = operator_feed::run(Rc::clone(&duty_node));
        metered(Activity::Feeds, clock.clone(), work)
    });
    let (duty_node, clock) = of(node);
    spawn_duty("peer_status", move || {
        let work = peer_status::run(Rc::clone(&duty_node));
        metered(Activity::Peers, clock.clone(), work)
    });
    let (duty_node, clock) = of(node);
    spawn_duty("ownership", move || {
        let work = ownership::run(Rc::clone(&duty_node));
        metered(Activity::Feeds, clock.clone(), work)
    });
}

async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.inspect_err(|error| log::error!("event=listen_failed address={address} error={error}"))
}

/// Releases the ownership, waits until the load balancer has removed this entry, and finishes the
/// requests in flight and the delivery of cancellations.
async fn stop(node: &Rc<Node>) {
    let began_at = node.now();
    log::info!("event=stopping in_flight={}", node.in_flight.get());
    node.is_stopping.set(true);
    ownership::release_ownerships(node).await;
    let max_drain_time = node.settings.stop_grace().saturating_sub(GRACE_RESERVE);
    while node.now().since(began_at) < max_drain_time {
        if node.now().since(began_at) >= MIN_DRAIN_TIME {
            node.close_connections.notify_waiters();
            if node.in_flight.get() == 0 && node.undelivered_cancellations.borrow().is_empty() {
                break;
            }
        }
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    for id in node.undelivered_cancellations.borrow().keys() {
        log::warn!("event=cancel_not_delivered id={id} reason=stopped");
    }
    log::info!("event=stopped in_flight={}", node.in_flight.get());
    tokio::time::sleep(logging::FLUSH_INTERVAL * 2).await;
}
