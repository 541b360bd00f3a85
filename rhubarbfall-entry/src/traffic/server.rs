use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use socket2::SockRef;
use xitca_web::App;
use xitca_web::handler::handler_service;
use xitca_web::route::post;

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

/// Serves callers until the process ends.
///
/// # Errors
///
/// Any error of the system when the server's threads cannot be started.
pub fn serve(shared: Arc<Shared>, listener: HttpListener) -> io::Result<()> {
    let threads = shared.settings.traffic.threads;
    App::new()
        .at("/{*path}", post(handler_service(handle)))
        .with_state(shared)
        .serve()
        .disable_signal()
        .worker_threads(threads)
        .listen(listener.socket)?
        .run()
        .wait()
}
