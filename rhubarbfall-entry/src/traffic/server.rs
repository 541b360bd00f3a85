use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use socket2::SockRef;
use xitca_web::App;
use xitca_web::handler::handler_service;

use super::handler::handle;
use crate::Shared;

/// An address that is open and not served yet.
#[derive(Debug)]
pub struct HttpListener {
    /// The open socket.
    pub socket: TcpListener,
    /// Its address.
    pub address: SocketAddr,
}

impl HttpListener {
    /// Opens an address.
    ///
    /// # Errors
    ///
    /// Any error of the system when the address cannot be opened.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        // Accepted connections inherit the option; without it the end of an answer waits for the
        // caller's delayed acknowledgement.
        SockRef::from(&socket).set_tcp_nodelay(true)?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }
}

/// The largest head of a request; each connection may hold that much before it is refused.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Serves callers until the process ends.
///
/// # Errors
///
/// Any error of the system when the server's threads cannot be started.
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
