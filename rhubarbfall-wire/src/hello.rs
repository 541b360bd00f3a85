use prost::Message;

/// The first message that each side sends on a new connection: its claimed identity and a nonce.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The identifier of the sending entry.
    #[prost(string, tag = "2")]
    pub entry: String,
    /// The availability zone of the sender.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The incarnation of the sending process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Random bytes that bind both proofs to this connection.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
    /// The address at which the sender accepts connections from its peers.
    #[prost(string, tag = "6")]
    pub address: String,
}

/// The second message of each side, which proves that the sender holds the fleet key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Proof {
    /// HMAC-SHA-256 over the sender's role and both hellos.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}
