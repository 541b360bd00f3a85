use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use socket2::SockRef;
use xitca_web::App;
use xitca_web::handler::handler_service;

use super::handler::handle;
use crate::Shared;

/// A bound socket that is not served yet.
#[derive(Debug)]
pub struct HttpListener {
    /// The listening socket.
    pub socket: TcpListener,
    /// The socket's address, with the port that the system assigned if port 0 was requested.
    pub address: SocketAddr,
}

impl HttpListener {
    /// Binds a non-blocking socket to `address`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the socket cannot be bound or configured.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        // Accepted connections inherit the option. Without it, the end of a response waits for the
        // caller's delayed acknowledgement.
        SockRef::from(&socket).set_tcp_nodelay(true)?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }
}

/// Maximum size of a request head; a connection may buffer this much before it is rejected.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Serves callers until the process ends.
///
/// # Errors
///
/// Returns the system's error if the server's threads cannot be started.
pub fn serve(shared: Arc<Shared>, listener: HttpListener) -> io::Result<()> {
    let threads = shared.settings.traffic.threads;
    App::new()
        .at("/", handler_service(handle))
        .at("/{*path}", handler_service(handle))
        .with_state(shared)
        .serve()
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .disable_signal()
        .worker_threads(threads)
        .listen(listener.socket)?
        .run()
        .wait()
}
