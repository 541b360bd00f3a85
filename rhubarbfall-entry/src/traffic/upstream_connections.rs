use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{CONNECTION, HOST};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rhubarbfall_core::{LiteMap, ResultCode, SharedClock};
use rhubarbfall_routing::{ConnectionHealth, HealthReport, Reuse};
use tokio::net::TcpStream;

/// How many connections wait for each upstream; one a slot is all that can be in use.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// A connection that carries one exchange at a time.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Open connections to upstreams that wait for their next exchange.
#[derive(Debug)]
pub struct UpstreamConnections {
    clock: SharedClock,
    idle: Mutex<LiteMap<SocketAddr, Vec<(Connection, ConnectionHealth)>>>,
    connect_timeout: Duration,
}

impl UpstreamConnections {
    /// Creates an empty set; a connection that takes longer than `connect_timeout` to open fails.
    #[must_use]
    pub fn new(clock: SharedClock, connect_timeout: Duration) -> Self {
        Self {
            clock,
            idle: Mutex::new(LiteMap::new()),
            connect_timeout,
        }
    }

    /// Takes a connection that waits, if there is one, with what to do before it is used.
    pub(super) fn take_idle(
        &self,
        address: SocketAddr,
        is_idempotent: bool,
    ) -> Option<(Connection, Reuse)> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        while let Some((connection, health)) = connections.pop() {
            let reuse = health.reuse(now, is_idempotent);
            if reuse != Reuse::Discard && connection.is_ready() {
                return Some((connection, reuse));
            }
        }
        None
    }

    /// Closes the connections that wait, after one of them proved to be silent.
    pub(super) fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    /// Opens a new connection.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Connection, ResultCode> {
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
        let health = ConnectionHealth::new(self.clock.now());
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push((connection, health));
        }
    }
}

/// Asks an upstream for its health; nothing when no answer comes on this connection.
pub(crate) async fn check_health(
    connection: &mut Connection,
    timeout: Duration,
) -> Option<HealthReport> {
    let request = Request::get("/health")
        .header(HOST, "upstream")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let exchange = async {
        let response = connection.send_request(request).await.ok()?;
        let status = response.status();
        let is_closing = response.headers().contains_key(CONNECTION);
        response.into_body().collect().await.ok()?;
        connection.ready().await.ok()?;
        let is_serving = status.is_success() && !is_closing;
        Some(if is_serving {
            HealthReport::Serving
        } else {
            HealthReport::Leaving
        })
    };
    tokio::time::timeout(timeout, exchange).await.ok()?
}
