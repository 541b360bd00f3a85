use bytes::{Buf, BufMut, BytesMut};
use hmac::Mac;
use prost::Message;
use subtle::ConstantTimeEq;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::fleet_key::hmac_sha256;
use crate::{Envelope, HandshakeRole, PROTOCOL_VERSION, PeerIdentity, WireError};

/// The default maximum frame size; a snapshot of the document at its design size fits several
/// times.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The length of the authentication tag at the end of each frame.
const TAG_BYTES: usize = 16;

/// The length of the frame header, which holds the length of the remaining frame.
const LENGTH_BYTES: usize = 4;

/// The bytes that framing adds to an encoded envelope.
pub const FRAME_OVERHEAD_BYTES: usize = LENGTH_BYTES + TAG_BYTES;

/// Frames and authenticates envelopes on one connection.
///
/// Each frame ends with a truncated HMAC-SHA-256 over its direction, its sequence number and its
/// content, so that a modified, replayed, omitted or reflected frame ends the connection.
#[derive(Debug)]
pub struct FrameCodec {
    framing: LengthDelimitedCodec,
    session_key: [u8; 32],
    peer: PeerIdentity,
    role: HandshakeRole,
    next_send_sequence: u64,
    next_receive_sequence: u64,
    max_frame_bytes: usize,
}

impl FrameCodec {
    pub(crate) fn new(
        role: HandshakeRole,
        session_key: [u8; 32],
        peer: PeerIdentity,
        max_frame_bytes: usize,
    ) -> Self {
        Self {
            framing: length_delimited_framing(max_frame_bytes),
            session_key,
            peer,
            role,
            next_send_sequence: 0,
            next_receive_sequence: 0,
            max_frame_bytes,
        }
    }

    /// Returns the identity of the authenticated peer.
    #[must_use]
    pub const fn peer(&self) -> &PeerIdentity {
        &self.peer
    }

    fn tag(&self, is_from_initiator: bool, sequence: u64, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = hmac_sha256(&self.session_key);
        mac.update(&[u8::from(is_from_initiator)]);
        mac.update(&sequence.to_be_bytes());
        mac.update(body);
        let digest: [u8; 32] = mac.finalize().into_bytes().into();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    fn verify_and_decode(&mut self, mut frame: BytesMut) -> Result<Envelope, WireError> {
        if frame.len() < TAG_BYTES {
            return Err(WireError::Malformed);
        }
        let tag = frame.split_off(frame.len() - TAG_BYTES);
        let is_from_initiator = self.role == HandshakeRole::Responder;
        let expected = self.tag(is_from_initiator, self.next_receive_sequence, &frame);
        if !bool::from(expected.as_slice().ct_eq(&tag)) {
            return Err(WireError::Authentication);
        }
        let mut envelope = Envelope::decode(frame.freeze()).map_err(|_| WireError::Malformed)?;
        if envelope.version != PROTOCOL_VERSION {
            return Err(WireError::Version(envelope.version));
        }
        if envelope.sequence != self.next_receive_sequence {
            return Err(WireError::Malformed);
        }
        self.next_receive_sequence += 1;
        envelope.sender = self.peer.entry.to_string();
        envelope.zone = self.peer.zone.to_string();
        envelope.incarnation = self.peer.incarnation.get();
        Ok(envelope)
    }
}

/// Returns a codec for frames with a four-byte length prefix and a maximum size.
pub(crate) fn length_delimited_framing(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(max_frame_bytes)
        .new_codec()
}

/// Distinguishes oversized frames from failed connections.
pub(crate) fn framing_error(error: std::io::Error) -> WireError {
    if error.kind() == std::io::ErrorKind::InvalidData {
        WireError::TooLarge
    } else {
        WireError::Io(error)
    }
}

impl Encoder<Envelope> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, mut envelope: Envelope, dst: &mut BytesMut) -> Result<(), WireError> {
        envelope.version = PROTOCOL_VERSION;
        envelope.sequence = self.next_send_sequence;
        let body_bytes = envelope.encoded_len();
        let frame_bytes = body_bytes + TAG_BYTES;
        if frame_bytes > self.max_frame_bytes {
            return Err(WireError::TooLarge);
        }
        let body = envelope.encode_to_vec();
        let tag = self.tag(
            self.role == HandshakeRole::Initiator,
            self.next_send_sequence,
            &body,
        );
        dst.reserve(LENGTH_BYTES + frame_bytes);
        dst.put_u32(frame_bytes as u32);
        dst.put_slice(&body);
        dst.put_slice(&tag);
        self.next_send_sequence += 1;
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = Envelope;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Envelope>, WireError> {
        match self.framing.decode(src).map_err(framing_error)? {
            Some(frame) => self.verify_and_decode(frame).map(Some),
            None => Ok(None),
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Envelope>, WireError> {
        let frame = self.decode(src)?;
        if frame.is_none() && src.has_remaining() {
            return Err(WireError::Malformed);
        }
        Ok(frame)
    }
}
