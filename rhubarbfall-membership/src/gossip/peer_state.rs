use std::time::Instant;

use crate::Member;

/// What this process knows of one other entry.
#[derive(Debug, Clone)]
pub(super) struct PeerState {
    pub(super) member: Member,
    pub(super) last_heard: Option<Instant>,
    /// The latest stamp that the peer sent, to be echoed.
    pub(super) last_stamp_ms: Option<u32>,
    pub(super) is_speaker: bool,
    /// Whether the peer's roster was once seen to hold this process.
    pub(super) has_admitted: bool,
    pub(super) roster_digest: u64,
}

impl PeerState {
    pub(super) const fn new(member: Member) -> Self {
        Self {
            member,
            last_heard: None,
            last_stamp_ms: None,
            is_speaker: false,
            has_admitted: false,
            roster_digest: 0,
        }
    }
}
