use std::sync::Arc;

use rhubarbfall_core::UpstreamId;
use sha2::{Digest, Sha256};

/// Returns the member that owns a slot, by rendezvous hashing, or `None` if there are no members.
///
/// When a member joins or leaves, only the slots that it gains or loses change owner.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use rhubarbfall_routing::slot_owner;
///
/// let members: Vec<Arc<str>> = vec!["entry-1".into(), "entry-2".into()];
/// let upstream = "labels-1".parse()?;
/// assert!(slot_owner(&members, &upstream, 0).is_some());
/// assert_eq!(slot_owner(&[], &upstream, 0), None);
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[must_use]
pub fn slot_owner<'a>(
    members: &'a [Arc<str>],
    upstream: &UpstreamId,
    slot_index: u32,
) -> Option<&'a Arc<str>> {
    members
        .iter()
        .max_by_key(|member| weight(member, upstream, slot_index))
}

fn weight(member: &str, upstream: &UpstreamId, slot_index: u32) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(member.as_bytes());
    hasher.update([0]);
    hasher.update(upstream.as_str().as_bytes());
    hasher.update(slot_index.to_be_bytes());
    hasher.finalize().into()
}
