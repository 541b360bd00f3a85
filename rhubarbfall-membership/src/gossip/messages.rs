use std::time::{Duration, Instant};

use rhubarbfall_core::Incarnation;
use rhubarbfall_wire::messages::membership::IntentReference;

use crate::IntentId;

/// Returns the time since `earlier` in whole milliseconds, rounded up: evidence never looks newer.
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
    /// Reads the identifier from a message; nothing when it is malformed.
    #[must_use]
    pub fn from_reference(reference: &IntentReference) -> Option<Self> {
        Some(Self {
            acceptor: reference.acceptor.parse().ok()?,
            incarnation: Incarnation::new(reference.incarnation),
            number: reference.number,
        })
    }
}
