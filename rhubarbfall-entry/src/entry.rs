use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use metrics_exporter_prometheus::PrometheusHandle;
use quick_error::quick_error;
use rhubarbfall_core::SharedClock;
use serde::Serialize;

use crate::operator::{self, OperatorContext};
use crate::traffic::{self, HttpListener};
use crate::{Phase, Settings, Shared, control};

quick_error! {
    /// Why an entry could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address could not be opened.
        Listen(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address}: {error}")
        }
        /// A thread could not be started.
        Thread(error: io::Error) {
            from()
            display("cannot start a thread: {error}")
        }
    }
}

/// Where a started entry listens.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    addresses: ListenAddresses,
    control: JoinHandle<io::Result<()>>,
}

impl Entry {
    /// Opens the addresses and starts the threads.
    ///
    /// `handles_signals` makes SIGTERM begin a planned stop.
    ///
    /// # Errors
    ///
    /// [`StartError`] when an address is taken or a thread cannot be started.
    pub fn start(
        settings: Settings,
        clock: SharedClock,
        metrics: Option<PrometheusHandle>,
        handles_signals: bool,
    ) -> Result<Self, StartError> {
        let callers = open_listener(settings.listen.callers)?;
        let operators = open_listener(settings.listen.operators)?;
        let peers_address = settings.listen.peers;
        let peers = TcpListener::bind(peers_address)
            .map_err(|error| StartError::Listen(peers_address, error))?;
        let addresses = ListenAddresses {
            callers: callers.address,
            operators: operators.address,
            peers: peers.local_addr()?,
        };
        let shared = Arc::new(Shared::new(settings, clock));
        let traffic_shared = Arc::clone(&shared);
        spawn("traffic", move || traffic::serve(traffic_shared, callers))?;
        let context = OperatorContext {
            shared: Arc::clone(&shared),
            metrics,
        };
        spawn("operators", move || operator::serve(context, operators))?;
        let control_shared = Arc::clone(&shared);
        let control = spawn("control", move || {
            control::run(&control_shared, peers, handles_signals)
        })?;
        Ok(Self {
            shared,
            addresses,
            control,
        })
    }

    /// Returns where the entry listens.
    #[must_use]
    pub const fn addresses(&self) -> ListenAddresses {
        self.addresses
    }

    /// Returns the state that the entry's threads share.
    #[must_use]
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.shared.lifecycle.advance(Phase::Draining);
    }

    /// Waits until a planned stop is complete.
    ///
    /// # Errors
    ///
    /// Any error of the system with which the control thread ended.
    pub fn wait(self) -> io::Result<()> {
        self.control
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the control thread panicked")))
    }
}

fn open_listener(address: SocketAddr) -> Result<HttpListener, StartError> {
    HttpListener::open(address).map_err(|error| StartError::Listen(address, error))
}

fn spawn<T: Send + 'static>(
    name: &str,
    run: impl FnOnce() -> T + Send + 'static,
) -> io::Result<JoinHandle<T>> {
    thread::Builder::new().name(name.to_owned()).spawn(run)
}
