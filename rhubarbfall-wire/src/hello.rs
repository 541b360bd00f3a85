use prost::Message;

/// The first message of each side on a new connection.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The version of the protocol that the sender speaks.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The entry that sends.
    #[prost(string, tag = "2")]
    pub entry: String,
    /// The availability zone of the sender.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Random bytes that make both proofs good for this connection only.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
    /// Where the sender takes connections of its peers.
    #[prost(string, tag = "6")]
    pub address: String,
}

/// The second message of each side: proof that the sender holds the fleet key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Proof {
    /// HMAC-SHA-256 over the sender's role and both hellos.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}
