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

/// Maximum number of idle connections kept per upstream; at most one per slot can be in use.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// An HTTP/1.1 connection, which carries one request at a time.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Pool of idle connections to upstreams.
#[derive(Debug)]
pub struct UpstreamConnections {
    clock: SharedClock,
    idle: Mutex<LiteMap<SocketAddr, Vec<(Connection, ConnectionHealth)>>>,
    connect_timeout: Duration,
}

impl UpstreamConnections {
    /// Creates an empty pool; opening a connection fails after `connect_timeout`.
    #[must_use]
    pub fn new(clock: SharedClock, connect_timeout: Duration) -> Self {
        Self {
            clock,
            idle: Mutex::new(LiteMap::new()),
            connect_timeout,
        }
    }

    /// Removes and returns an idle connection, if any, with what to do before its reuse.
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

    /// Closes the idle connections to an upstream, after one of them did not respond.
    pub(super) fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

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
                log::debug!("event=connection-ended upstream={address} error={error}");
            }
        });
        Ok(sender)
    }

    /// Keeps a connection for reuse; its last response must have been received completely.
    pub(super) fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let health = ConnectionHealth::new(self.clock.now());
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push((connection, health));
        }
    }
}

/// Requests an upstream's health; returns `None` if this connection yields no response within
/// `timeout`.
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
