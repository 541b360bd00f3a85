use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rhubarbfall_core::{LiteMap, ResultCode};
use tokio::net::TcpStream;

/// A connection that carries one exchange at a time.
pub(super) type Connection = SendRequest<Full<Bytes>>;

/// Open connections to upstreams that wait for their next exchange.
#[derive(Debug)]
pub struct UpstreamConnections {
    idle: Mutex<LiteMap<SocketAddr, Vec<Connection>>>,
    connect_timeout: Duration,
}

impl UpstreamConnections {
    /// Creates an empty set; a connection that takes longer than `connect_timeout` to open fails.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Mutex::new(LiteMap::new()),
            connect_timeout,
        }
    }

    /// Takes a connection that waits, if there is one.
    pub(super) fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a new connection.
    pub(super) async fn open(&self, address: SocketAddr) -> Result<Connection, ResultCode> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.connect_timeout, connect)
            .await
            .map_err(|_| ResultCode::ConnectFailed)?
            .map_err(|_| ResultCode::ConnectFailed)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ResultCode::ConnectFailed)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("upstream={address} connection ended: {error}");
            }
        });
        Ok(sender)
    }

    /// Keeps a connection for its next exchange; only after a clean end of the last one.
    pub(super) fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock();
        idle.entry(address).or_default().push(connection);
    }
}
