use std::sync::{Arc, Weak};

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::ACKNOWLEDGEMENT_KIND;
use super::peer_network::Inner;
use crate::{Envelope, PeerConnection, WireError, accept};

/// The delay after `accept` failed, for example because the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// Accepts connections until the network is dropped; an error closes only its own connection.
pub(super) async fn accept_all(
    network: Weak<Inner>,
    listener: TcpListener,
    connections: Arc<Semaphore>,
) {
    loop {
        let accepted = listener.accept().await;
        let Some(inner) = network.upgrade() else {
            return;
        };
        let Ok((stream, address)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            continue;
        };
        tokio::spawn(async move {
            if let Err(error) = serve(&inner, stream).await {
                log::debug!("connection from {address} failed: {error}");
            }
            drop(permit);
        });
    }
}

async fn serve(inner: &Inner, stream: TcpStream) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let config = &inner.config;
    let key = &config.fleet_key;
    let mut connection = accept(stream, &config.identity, key, config.max_frame_bytes).await?;
    let mut idle_deadline = Instant::now() + config.idle_timeout * 2;
    let mut acknowledgement_deadline = None;
    loop {
        tokio::select! {
            frame = connection.next() => {
                let Some(frame) = frame else { return Ok(()) };
                let envelope = frame?;
                let peer = connection.codec().peer().clone();
                inner.dispatch(&peer, envelope);
                idle_deadline = Instant::now() + config.idle_timeout * 2;
                acknowledgement_deadline
                    .get_or_insert_with(|| Instant::now() + config.acknowledgement_delay);
            }
            () = sleep_until(acknowledgement_deadline.unwrap_or(idle_deadline)) => {
                if acknowledgement_deadline.take().is_none() {
                    return Ok(());
                }
                acknowledge(inner, &mut connection).await?;
            }
        }
    }
}

async fn acknowledge(
    inner: &Inner,
    connection: &mut PeerConnection<TcpStream>,
) -> Result<(), WireError> {
    let envelope = Envelope::new(ACKNOWLEDGEMENT_KIND, bytes::Bytes::new());
    timeout(inner.config.silence_timeout, connection.send(envelope))
        .await
        .map_err(|_| WireError::TimedOut)?
}
