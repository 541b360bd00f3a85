use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use rhubarbfall_core::EntryId;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::PeerNetworkConfig;
use crate::{Envelope, PeerConnection, WireError, connect};

/// The peer that a link connects to.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) entry: EntryId,
    pub(super) address: SocketAddr,
}

/// The outbound queue and connection to one peer; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct Link {
    sender: mpsc::Sender<Envelope>,
}

impl Link {
    pub(super) fn open(runtime: &Handle, config: &PeerNetworkConfig, target: Target) -> Self {
        let (sender, queue) = mpsc::channel(config.queue_messages);
        runtime.spawn(run(config.clone(), target, queue));
        Self { sender }
    }

    pub(super) fn sender(&self) -> mpsc::Sender<Envelope> {
        self.sender.clone()
    }
}

/// Connects when a message is queued, and reconnects with back-off after failures.
///
/// Messages that were queued before the end of a back-off are dropped.
async fn run(config: PeerNetworkConfig, target: Target, mut queue: mpsc::Receiver<Envelope>) {
    let mut backoff = config.min_backoff;
    while let Some(first) = queue.recv().await {
        let outcome = match open_connection(&config, &target).await {
            Ok(connection) => {
                backoff = config.min_backoff;
                forward_queued(&config, connection, first, &mut queue).await
            }
            Err(error) => Err(error),
        };
        let Err(error) = outcome else { continue };
        log::debug!(
            "connection to {} at {} failed: {error}",
            target.entry,
            target.address
        );
        sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(config.max_backoff);
        while queue.try_recv().is_ok() {}
    }
}

/// Multiplies the back-off by a random factor between 0.5 and 1.5 to spread reconnects.
fn jittered(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..1.5))
}

async fn open_connection(
    config: &PeerNetworkConfig,
    target: &Target,
) -> Result<PeerConnection<TcpStream>, WireError> {
    let stream = timeout(config.connect_timeout, TcpStream::connect(target.address))
        .await
        .map_err(|_| WireError::TimedOut)??;
    stream.set_nodelay(true)?;
    let key = &config.fleet_key;
    let connection = connect(stream, &config.identity, key, config.max_frame_bytes).await?;
    if connection.codec().peer().entry != target.entry {
        return Err(WireError::Authentication);
    }
    Ok(connection)
}

/// Sends queued messages until the queue is closed, the connection is idle for too long, or the
/// peer does not acknowledge in time.
async fn forward_queued(
    config: &PeerNetworkConfig,
    mut connection: PeerConnection<TcpStream>,
    first: Envelope,
    queue: &mut mpsc::Receiver<Envelope>,
) -> Result<(), WireError> {
    send(config, &mut connection, first).await?;
    let mut acknowledgement_deadline = Some(Instant::now() + config.silence_timeout);
    loop {
        let deadline =
            acknowledgement_deadline.unwrap_or_else(|| Instant::now() + config.idle_timeout);
        tokio::select! {
            next = queue.recv() => {
                let Some(envelope) = next else { return Ok(()) };
                send(config, &mut connection, envelope).await?;
                acknowledgement_deadline
                    .get_or_insert_with(|| Instant::now() + config.silence_timeout);
            }
            frame = connection.next() => {
                frame.ok_or(WireError::Closed)??;
                acknowledgement_deadline = None;
            }
            () = sleep_until(deadline) => {
                return match acknowledgement_deadline {
                    Some(_) => Err(WireError::TimedOut),
                    None => Ok(()),
                };
            }
        }
    }
}

async fn send(
    config: &PeerNetworkConfig,
    connection: &mut PeerConnection<TcpStream>,
    envelope: Envelope,
) -> Result<(), WireError> {
    timeout(config.silence_timeout, connection.send(envelope))
        .await
        .map_err(|_| WireError::TimedOut)?
}
