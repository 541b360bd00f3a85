//! Messages of membership and configuration.

use prost::Message;

/// The kind of a [`Heartbeat`].
pub const HEARTBEAT_KIND: u32 = 2;
/// The kind of an [`IntentMessage`] that announces a change.
pub const INTENT_KIND: u32 = 3;
/// The kind of an [`IntentReference`] that says that the sender holds the intent.
pub const INTENT_ANSWER_KIND: u32 = 4;
/// The kind of an [`IntentReference`] that says that the acceptor has given the change up.
pub const INTENT_RELEASE_KIND: u32 = 5;
/// The kind of an [`IntentReference`] that asks for the intent.
pub const INTENT_REQUEST_KIND: u32 = 6;
/// The kind of a [`Roster`].
pub const ROSTER_KIND: u32 = 8;
/// The kind of a [`DocumentMessage`].
pub const DOCUMENT_KIND: u32 = 9;
/// The kind of a [`DocumentRequest`].
pub const DOCUMENT_REQUEST_KIND: u32 = 10;

/// What an entry says to a peer at an interval.
///
/// The receiver dates what the message says by `echo_ms`: the sender composed it after it had
/// received the message with that stamp, so that no two clocks are compared.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// The time since the sender's start.
    #[prost(uint32, tag = "1")]
    pub stamp_ms: u32,
    /// The latest stamp that the sender has of the receiver; absent before the first.
    #[prost(uint32, optional, tag = "2")]
    pub echo_ms: Option<u32>,
    /// Whether the sender speaks for its availability zone.
    #[prost(bool, tag = "3")]
    pub is_speaker: bool,
    /// The digest of the members that the sender knows.
    #[prost(fixed64, tag = "4")]
    pub roster_digest: u64,
    /// The sender's own state.
    #[prost(message, optional, tag = "5")]
    pub report: Option<ZoneReport>,
    /// The newest table read that the sender knows of.
    #[prost(message, optional, tag = "6")]
    pub read: Option<RelayedRead>,
    /// What the sender relays of whole availability zones.
    #[prost(message, repeated, tag = "7")]
    pub zones: Vec<ZoneReport>,
}

/// A table read with its age.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RelayedRead {
    /// The time since the read began.
    #[prost(uint32, tag = "1")]
    pub age_ms: u32,
    /// The revision that the table gave.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// The words of one entry or of a whole availability zone.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ZoneReport {
    /// The place of the zone in the sorted list of zones.
    #[prost(uint32, tag = "1")]
    pub zone_index: u32,
    /// The age of the oldest word that is covered.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// The highest revision of the words that are covered.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Whether the speaker itself is unsettled; words of whole zones cover only settled members.
    #[prost(bool, tag = "4")]
    pub is_unsettled: bool,
    /// Every intent that the covered members hold.
    #[prost(message, repeated, tag = "5")]
    pub intents: Vec<IntentReference>,
    /// The places in the sorted roster of the zone's members that are not covered.
    #[prost(uint32, repeated, tag = "6")]
    pub uncovered: Vec<u32>,
    /// Those of them that are known to hold the same roster.
    #[prost(uint32, repeated, tag = "7")]
    pub with_same_roster: Vec<u32>,
}

/// Names an intent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IntentReference {
    /// The entry that announced the change.
    #[prost(string, tag = "1")]
    pub acceptor: String,
    /// The process on that entry's VM.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the change at that process.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// An announced change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IntentMessage {
    /// The name of the intent.
    #[prost(message, optional, tag = "1")]
    pub reference: Option<IntentReference>,
    /// The revision that the change would have.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The encoded change.
    #[prost(bytes = "bytes", tag = "3")]
    pub change: bytes::Bytes,
}

/// What a change takes away; it is enforced from the intent on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RevocationsMessage {
    /// The digests of the keys that are withdrawn or belong to another owner.
    #[prost(string, repeated, tag = "1")]
    pub withdrawn_keys: Vec<String>,
    /// The teams that lose a queue.
    #[prost(message, repeated, tag = "2")]
    pub revoked_queues: Vec<RevokedQueue>,
}

/// A queue that a team may no longer use.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RevokedQueue {
    /// The queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// The team.
    #[prost(string, tag = "2")]
    pub team: String,
}

/// The members that an entry knows, for a peer with another list.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Roster {
    /// The members, the sender included.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<RosterMember>,
}

/// One entry of a [`Roster`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RosterMember {
    /// The entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// The availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The process on the entry's VM.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Where the entry takes connections of its peers.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// Asks a peer for its document when it is newer.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct DocumentRequest {
    /// The revision that the sender has.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// The sections that changed since a revision, or the whole document.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DocumentMessage {
    /// The revision that the receiver must have; absent for a whole document.
    #[prost(uint64, optional, tag = "1")]
    pub base_revision: Option<u64>,
    /// The revision that results.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The encoded sections.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: bytes::Bytes,
}
