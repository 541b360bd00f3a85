use prost::Message;

/// The version of the protocol between entries.
pub const PROTOCOL_VERSION: u32 = 1;

/// One message between two entries.
///
/// A connection authenticates the sender once, so `sender`, `zone` and `incarnation` stay empty on
/// the wire and [`FrameCodec`](crate::FrameCodec) fills them in on arrival.
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
    /// The version of the protocol that the sender speaks.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The entry that sent the message.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// The incarnation of the sender.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The availability zone of the sender.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The number of the message on its connection and in its direction, from zero.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// What the payload is; see [`messages`](crate::messages).
    #[prost(uint32, tag = "6")]
    pub kind: u32,
    /// The encoded message of that kind.
    #[prost(bytes = "bytes", tag = "7")]
    pub payload: bytes::Bytes,
}

impl Envelope {
    /// Creates a message of this kind; the connection fills in the rest.
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
