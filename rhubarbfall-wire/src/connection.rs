use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use prost::Message;
use rand::Rng;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};

use crate::frame_codec::{framing_error, length_delimited_framing};
use crate::handshake::{HandshakeSession, NONCE_BYTES};
use crate::hello::{Hello, Proof};
use crate::{FleetKey, FrameCodec, Handshake, HandshakeRole, PeerIdentity, WireError};

/// The maximum frame size until the peer has proved that it holds the fleet key.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1024;

/// The maximum duration of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The initial read buffer of an authenticated connection; holds several heartbeats.
const INITIAL_BUFFER_BYTES: usize = 1024;

/// An authenticated connection to another entry.
pub type PeerConnection<S> = Framed<S, FrameCodec>;

/// A connection during the handshake: framed, but not yet authenticated.
type HandshakeConnection<S> = Framed<S, LengthDelimitedCodec>;

/// Performs the handshake on a connection that this process opened.
///
/// # Errors
///
/// Returns an error if the connection fails, or if the peer does not hold the fleet key, uses
/// another protocol version, sends an oversized or malformed frame, or does not complete the
/// handshake within two seconds.
pub async fn connect<S>(
    stream: S,
    identity: &PeerIdentity,
    key: &FleetKey,
    max_frame_bytes: usize,
) -> Result<PeerConnection<S>, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    establish(
        HandshakeRole::Initiator,
        stream,
        identity,
        key,
        max_frame_bytes,
    )
    .await
}

/// Performs the handshake on a connection that this process accepted.
///
/// # Errors
///
/// Returns the same errors as [`connect`].
pub async fn accept<S>(
    stream: S,
    identity: &PeerIdentity,
    key: &FleetKey,
    max_frame_bytes: usize,
) -> Result<PeerConnection<S>, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    establish(
        HandshakeRole::Responder,
        stream,
        identity,
        key,
        max_frame_bytes,
    )
    .await
}

async fn establish<S>(
    role: HandshakeRole,
    stream: S,
    identity: &PeerIdentity,
    key: &FleetKey,
    max_frame_bytes: usize,
) -> Result<PeerConnection<S>, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    let handshake = Handshake::new(role, identity, nonce, key.clone());
    let mut connection = Framed::new(stream, length_delimited_framing(MAX_HANDSHAKE_FRAME_BYTES));
    let session = timeout(
        HANDSHAKE_TIMEOUT,
        authenticate(role, handshake, &mut connection),
    )
    .await
    .map_err(|_| WireError::TimedOut)??;
    Ok(upgrade(connection, session.codec(max_frame_bytes)))
}

async fn authenticate<S>(
    role: HandshakeRole,
    handshake: Handshake,
    connection: &mut HandshakeConnection<S>,
) -> Result<HandshakeSession, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    if role == HandshakeRole::Initiator {
        send(connection, handshake.hello()).await?;
        let session = handshake.receive(receive::<S, Hello>(connection).await?)?;
        send(connection, &session.proof()).await?;
        session.verify(&receive::<S, Proof>(connection).await?)?;
        return Ok(session);
    }
    let hello = handshake.hello().clone();
    let session = handshake.receive(receive::<S, Hello>(connection).await?)?;
    send(connection, &hello).await?;
    session.verify(&receive::<S, Proof>(connection).await?)?;
    send(connection, &session.proof()).await?;
    Ok(session)
}

async fn send<S>(
    connection: &mut HandshakeConnection<S>,
    message: &impl Message,
) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    connection
        .send(bytes::Bytes::from(message.encode_to_vec()))
        .await
        .map_err(framing_error)
}

async fn receive<S, M>(connection: &mut HandshakeConnection<S>) -> Result<M, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    M: Message + Default,
{
    let frame = connection.next().await.ok_or(WireError::Closed)?;
    M::decode(frame.map_err(framing_error)?).map_err(|_| WireError::Malformed)
}

fn upgrade<S>(connection: HandshakeConnection<S>, codec: FrameCodec) -> PeerConnection<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let old = connection.into_parts();
    let mut parts = FramedParts::new::<crate::Envelope>(old.io, codec);
    parts.read_buf = old.read_buf;
    parts.write_buf = old.write_buf;
    parts.read_buf.reserve(INITIAL_BUFFER_BYTES);
    Framed::from_parts(parts)
}
