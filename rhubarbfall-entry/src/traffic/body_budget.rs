use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits the memory that all request bodies buffered at this entry occupy together.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` of which nothing is reserved.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            reserved_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the number of reserved bytes.
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

/// The part of the budget that one body occupies; dropping it releases the bytes.
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

    /// Reserves more bytes; returns `false` and reserves nothing if the budget does not allow it.
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
