use std::sync::Arc;
use std::time::Instant;

/// The members that divide the slots of an availability zone, as published by the holder of the
/// zone's lease.
///
/// A member is one process: a replacement of an entry on the same VM is a different member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipView {
    /// Number of membership changes so far; a greater epoch supersedes a smaller one.
    pub epoch: u64,
    /// The members, in ascending order.
    pub members: Vec<Arc<str>>,
    /// Members of earlier views whose slots may still be in use.
    pub earlier_members: Vec<Arc<str>>,
    /// When the view expires, measured from before it was requested.
    pub expires_at: Instant,
}
