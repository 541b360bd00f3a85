use std::time::Instant;

use crate::Member;

/// State that this process keeps for one other entry.
#[derive(Debug, Clone)]
pub(super) struct PeerState {
    pub(super) member: Member,
    pub(super) last_heartbeat_at: Option<Instant>,
    /// Stamp (the peer's uptime) of its latest heartbeat, echoed in the next heartbeat to it.
    pub(super) last_stamp_ms: Option<u32>,
    pub(super) is_speaker: bool,
    /// Whether the peer is known to have had a roster that includes this process.
    pub(super) has_admitted: bool,
    pub(super) roster_digest: u64,
}

impl PeerState {
    pub(super) const fn new(member: Member) -> Self {
        Self {
            member,
            last_heartbeat_at: None,
            last_stamp_ms: None,
            is_speaker: false,
            has_admitted: false,
            roster_digest: 0,
        }
    }
}
