use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use prost::Message;
use rand::Rng;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec};

use crate::frame_codec::{framing_error, plain_framing};
use crate::handshake::{Introduced, NONCE_BYTES};
use crate::hello::{Hello, Proof};
use crate::{FleetKey, FrameCodec, Handshake, HandshakeRole, PeerIdentity, WireError};

/// The largest frame before the peer has proved that it holds the fleet key.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1024;

/// How long a peer may take over the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The buffer that a new connection starts with; a heartbeat fits several times over.
const INITIAL_BUFFER_BYTES: usize = 1024;

/// An authenticated connection to another entry.
pub type PeerConnection<S> = Framed<S, FrameCodec>;

type PlainConnection<S> = Framed<S, LengthDelimitedCodec>;

/// Authenticates a connection that this process opened.
///
/// # Errors
///
/// Returns an error when the peer does not hold the fleet key, speaks another version, sends a
/// frame that cannot be read, or takes too long.
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

/// Authenticates a connection that this process accepted.
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
    let mut plain = Framed::new(stream, plain_framing(MAX_HANDSHAKE_FRAME_BYTES));
    let introduced = timeout(HANDSHAKE_TIMEOUT, authenticate(role, handshake, &mut plain))
        .await
        .map_err(|_| WireError::Silent)??;
    Ok(upgrade(plain, introduced.codec(max_frame_bytes)))
}

async fn authenticate<S>(
    role: HandshakeRole,
    handshake: Handshake,
    plain: &mut PlainConnection<S>,
) -> Result<Introduced, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    if role == HandshakeRole::Initiator {
        send(plain, handshake.hello()).await?;
        let introduced = handshake.receive(receive::<S, Hello>(plain).await?)?;
        send(plain, &introduced.proof()).await?;
        introduced.verify(&receive::<S, Proof>(plain).await?)?;
        return Ok(introduced);
    }
    let hello = handshake.hello().clone();
    let introduced = handshake.receive(receive::<S, Hello>(plain).await?)?;
    send(plain, &hello).await?;
    introduced.verify(&receive::<S, Proof>(plain).await?)?;
    send(plain, &introduced.proof()).await?;
    Ok(introduced)
}

async fn send<S>(plain: &mut PlainConnection<S>, message: &impl Message) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    plain
        .send(bytes::Bytes::from(message.encode_to_vec()))
        .await
        .map_err(framing_error)
}

async fn receive<S, M>(plain: &mut PlainConnection<S>) -> Result<M, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    M: Message + Default,
{
    let frame = plain.next().await.ok_or(WireError::Closed)?;
    M::decode(frame.map_err(framing_error)?).map_err(|_| WireError::Malformed)
}

fn upgrade<S>(plain: PlainConnection<S>, codec: FrameCodec) -> PeerConnection<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let old = plain.into_parts();
    let mut parts = FramedParts::new::<crate::Envelope>(old.io, codec);
    parts.read_buf = old.read_buf;
    parts.write_buf = old.write_buf;
    parts.read_buf.reserve(INITIAL_BUFFER_BYTES);
    Framed::from_parts(parts)
}
