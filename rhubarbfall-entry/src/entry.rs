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
    /// Error that prevents an entry from starting.
    #[derive(Debug)]
    pub enum StartError {
        /// A socket could not be bound to this address.
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

/// Addresses at which a started entry listens.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ListenAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
}

/// A running entry: its shared state, its addresses and its control thread.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    addresses: ListenAddresses,
    control: JoinHandle<io::Result<()>>,
}

impl Entry {
    /// Binds the listening sockets and starts the threads.
    ///
    /// With `handles_signals`, SIGTERM begins a planned stop.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address cannot be bound or a thread cannot be started.
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

    /// Returns the addresses at which the entry listens.
    #[must_use]
    pub const fn addresses(&self) -> ListenAddresses {
        self.addresses
    }

    /// Returns the state that the entry's threads share.
    #[must_use]
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Begins a planned stop; returns without waiting for its end.
    pub fn stop(&self) {
        self.shared.lifecycle.advance(Phase::Draining);
    }

    /// Waits until a planned stop is complete.
    ///
    /// # Errors
    ///
    /// Returns the I/O error with which the control thread ended, or an error if it panicked.
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
