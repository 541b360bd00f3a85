use prost::Message;

/// The protocol version of this process; peers with another version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// The outer message of every frame between two entries.
///
/// The handshake of a connection authenticates the sender, so `sender`, `zone` and `incarnation`
/// are empty on the wire; [`FrameCodec`](crate::FrameCodec) sets them on receipt.
///
/// # Examples
///
/// ```
/// use prost::Message;
/// use rhubarbfall_wire::Envelope;
///
/// let envelope = Envelope::new(3, &b"payload"[..]);
/// let decoded = Envelope::decode(envelope.encode_to_vec().as_slice())?;
/// assert_eq!(decoded, envelope);
/// # Ok::<(), prost::DecodeError>(())
/// ```
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Envelope {
    /// The protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The identifier of the entry that sent the message.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// The incarnation of the sending process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The availability zone of the sender.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The sequence number of the message in its direction of the connection, starting at zero.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// The kind of message in the payload; see [`messages`](crate::messages).
    #[prost(uint32, tag = "6")]
    pub kind: u32,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "7")]
    pub payload: bytes::Bytes,
}

impl Envelope {
    /// Creates an envelope for a message of this kind; [`FrameCodec`](crate::FrameCodec) sets the
    /// remaining fields.
    #[must_use]
    pub fn new(kind: u32, payload: impl Into<bytes::Bytes>) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            kind,
            payload: payload.into(),
            ..Self::default()
        }
    }
}
