//! Messages of membership and configuration: heartbeats, rosters, change intents and documents.

use prost::Message;

/// The envelope kind of a [`Heartbeat`].
pub const HEARTBEAT_KIND: u32 = 2;
/// The envelope kind of an [`IntentMessage`] that announces a change.
pub const INTENT_KIND: u32 = 3;
/// The envelope kind of an [`IntentReference`] with which the sender confirms that it holds the
/// intent.
pub const INTENT_ANSWER_KIND: u32 = 4;
/// The envelope kind of an [`IntentReference`] with which the acceptor abandons the change.
pub const INTENT_RELEASE_KIND: u32 = 5;
/// The envelope kind of an [`IntentReference`] that requests the intent.
pub const INTENT_REQUEST_KIND: u32 = 6;
/// The envelope kind of a [`Roster`].
pub const ROSTER_KIND: u32 = 8;
/// The envelope kind of a [`DocumentMessage`].
pub const DOCUMENT_KIND: u32 = 9;
/// The envelope kind of a [`DocumentRequest`].
pub const DOCUMENT_REQUEST_KIND: u32 = 10;

/// A periodic message with the sender's state, for failure detection and as freshness evidence.
///
/// `echo_ms` gives the receiver a lower bound for the time at which the message was composed: the
/// sender had already received the receiver's heartbeat with that stamp. No two clocks are
/// compared.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// The time since the sender started, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub stamp_ms: u32,
    /// The latest stamp received from the receiver; absent before its first heartbeat.
    #[prost(uint32, optional, tag = "2")]
    pub echo_ms: Option<u32>,
    /// Whether the sender is the speaker of its availability zone, which relays zone reports.
    #[prost(bool, tag = "3")]
    pub is_speaker: bool,
    /// The digest of the sender's roster.
    #[prost(fixed64, tag = "4")]
    pub roster_digest: u64,
    /// The sender's own configuration state.
    #[prost(message, optional, tag = "5")]
    pub report: Option<ZoneReport>,
    /// The newest read of the document table that the sender knows of.
    #[prost(message, optional, tag = "6")]
    pub read: Option<RelayedRead>,
    /// The reports of whole availability zones that the sender relays.
    #[prost(message, repeated, tag = "7")]
    pub zones: Vec<ZoneReport>,
}

/// The age and result of a read of the document table.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RelayedRead {
    /// The time since the read began, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub age_ms: u32,
    /// The revision that the read returned.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// The configuration state of one entry, or a summary for a whole availability zone.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ZoneReport {
    /// The index of the zone in the sorted list of zones.
    #[prost(uint32, tag = "1")]
    pub zone_index: u32,
    /// The age of the oldest covered report, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// The highest revision in the covered reports.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Whether the reporting entry is unsettled; reports of whole zones cover only settled members.
    #[prost(bool, tag = "4")]
    pub is_unsettled: bool,
    /// All intents that the covered members hold.
    #[prost(message, repeated, tag = "5")]
    pub intents: Vec<IntentReference>,
    /// The indices of members that are not covered, in the zone's sorted roster.
    #[prost(uint32, repeated, tag = "6")]
    pub uncovered: Vec<u32>,
    /// The indices of uncovered members that are known to have the same roster as the sender.
    #[prost(uint32, repeated, tag = "7")]
    pub with_same_roster: Vec<u32>,
}

/// Identifies an intent: the announcement of a change before it is committed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IntentReference {
    /// The acceptor: the entry that announced the change.
    #[prost(string, tag = "1")]
    pub acceptor: String,
    /// The incarnation of the acceptor.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the change, unique within that incarnation.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// The announcement of a change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IntentMessage {
    /// The identifier of the intent.
    #[prost(message, optional, tag = "1")]
    pub reference: Option<IntentReference>,
    /// The revision that the change creates if it is committed.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The encoded [`RevocationsMessage`] of the change.
    #[prost(bytes = "bytes", tag = "3")]
    pub change: bytes::Bytes,
}

/// The permissions that a change revokes; entries enforce them as soon as they hold the intent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RevocationsMessage {
    /// The digests of keys that are withdrawn or assigned to another owner.
    #[prost(string, repeated, tag = "1")]
    pub withdrawn_keys: Vec<String>,
    /// The queues that teams may no longer use.
    #[prost(message, repeated, tag = "2")]
    pub revoked_queues: Vec<RevokedQueue>,
}

/// A queue that a team may no longer use.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RevokedQueue {
    /// The identifier of the queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// The identifier of the team.
    #[prost(string, tag = "2")]
    pub team: String,
}

/// The members known to an entry, sent to a peer whose roster differs.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Roster {
    /// The members, including the sender.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<RosterMember>,
}

/// One member of a [`Roster`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RosterMember {
    /// The identifier of the entry.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// The availability zone of the entry.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The incarnation of the entry's process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The address at which the entry accepts connections from its peers.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// Requests a peer's document if it is newer.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct DocumentRequest {
    /// The document revision of the sender.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// The sections that changed since a base revision, or the whole document.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DocumentMessage {
    /// The revision to which the receiver applies the sections; absent for a whole document.
    #[prost(uint64, optional, tag = "1")]
    pub base_revision: Option<u64>,
    /// The revision of the resulting document.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The encoded sections.
    #[prost(bytes = "bytes", tag = "3")]
    pub content: bytes::Bytes,
}
