use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory that the bodies of all requests at this entry may take together.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

impl BodyBudget {
    /// Creates a budget of which nothing is taken.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            reserved_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns how much is taken.
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        let add = |reserved: usize| {
            let reserved = reserved.checked_add(bytes)?;
            (reserved <= self.max_bytes).then_some(reserved)
        };
        let updated = self
            .reserved_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, add);
        updated.is_ok()
    }
}

/// A part of the budget that one body takes, until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    pub(crate) fn new(budget: &Arc<BodyBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Takes more; returns whether there was room.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let has_room = self.budget.try_reserve(bytes);
        if has_room {
            self.bytes += bytes;
        }
        has_room
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget
            .reserved_bytes
            .fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
