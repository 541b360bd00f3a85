use std::time::{Duration, Instant};

use rhubarbfall_core::Incarnation;
use rhubarbfall_wire::messages::membership::IntentReference;

use crate::IntentId;

/// Returns the time since `earlier` in milliseconds, rounded up so that evidence is never dated
/// newer than it is.
pub(super) fn age_ms(now: Instant, earlier: Instant) -> u32 {
    let age = now.saturating_duration_since(earlier);
    let whole = age.as_millis() as u32;
    whole + u32::from(age > Duration::from_millis(u64::from(whole)))
}

impl From<&IntentId> for IntentReference {
    fn from(id: &IntentId) -> Self {
        Self {
            acceptor: id.acceptor.to_string(),
            incarnation: id.incarnation.get(),
            number: id.number,
        }
    }
}

impl IntentId {
    /// Decodes the identifier from a message; returns `None` if it is malformed.
    #[must_use]
    pub fn from_reference(reference: &IntentReference) -> Option<Self> {
        Some(Self {
            acceptor: reference.acceptor.parse().ok()?,
            incarnation: Incarnation::new(reference.incarnation),
            number: reference.number,
        })
    }
}
