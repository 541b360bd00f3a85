use std::sync::Arc;
use std::time::Instant;

/// Who divides the slots of an availability zone among themselves, as its lease holder says.
///
/// A member is one process: a replacement of an entry on the same VM is another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipView {
    /// Counts the changes of the members.
    pub epoch: u64,
    /// The members, in ascending order.
    pub members: Vec<Arc<str>>,
    /// Members of earlier views whose slots may still be in use.
    pub earlier_members: Vec<Arc<str>>,
    /// Until when the view may be used, counted from before it was asked for.
    pub expires_at: Instant,
}
