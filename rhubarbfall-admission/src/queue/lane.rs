use std::collections::VecDeque;

use rhubarbfall_core::QueueId;

use super::{Ticket, WorkClass};

/// Removed tickets are swept out when they outnumber the waiting ones by this many.
const MAX_REMOVED: usize = 32;

/// The waiting requests of one team in one queue, by class.
#[derive(Debug, Clone)]
pub(crate) struct Lane {
    pub(crate) queue: QueueId,
    pub(crate) weight: f64,
    /// The virtual time up to which the lane has been served.
    pub(crate) served: f64,
    urgent: Line,
    batch: Line,
}

/// Waiting requests in the order of arrival; removed ones stay in place until they are swept out.
#[derive(Debug, Clone, Default)]
struct Line {
    tickets: VecDeque<Ticket>,
    live: usize,
}

impl Lane {
    pub(crate) fn new(queue: QueueId, weight: f64) -> Self {
        Self {
            queue,
            weight,
            served: 0.0,
            urgent: Line::default(),
            batch: Line::default(),
        }
    }

    const fn line(&self, class: WorkClass) -> &Line {
        match class {
            WorkClass::Urgent => &self.urgent,
            WorkClass::Batch => &self.batch,
        }
    }

    const fn line_mut(&mut self, class: WorkClass) -> &mut Line {
        match class {
            WorkClass::Urgent => &mut self.urgent,
            WorkClass::Batch => &mut self.batch,
        }
    }

    pub(crate) const fn waiting(&self, class: WorkClass) -> usize {
        self.line(class).live
    }

    pub(crate) fn push(&mut self, class: WorkClass, ticket: Ticket) {
        let line = self.line_mut(class);
        line.tickets.push_back(ticket);
        line.live += 1;
    }

    /// Takes the oldest request for which `is_waiting` holds.
    pub(crate) fn pop(
        &mut self,
        class: WorkClass,
        is_waiting: impl Fn(Ticket) -> bool,
    ) -> Option<Ticket> {
        let line = self.line_mut(class);
        while let Some(ticket) = line.tickets.pop_front() {
            if is_waiting(ticket) {
                line.live -= 1;
                return Some(ticket);
            }
        }
        None
    }

    /// Returns the newest request for which `is_waiting` holds, and leaves it in place.
    pub(crate) fn newest(
        &self,
        class: WorkClass,
        is_waiting: impl Fn(Ticket) -> bool,
    ) -> Option<Ticket> {
        let mut tickets = self.line(class).tickets.iter().rev().copied();
        tickets.find(|ticket| is_waiting(*ticket))
    }

    /// Counts one request less; `is_waiting` no longer holds for it.
    pub(crate) fn remove(&mut self, class: WorkClass, is_waiting: impl Fn(Ticket) -> bool) {
        let line = self.line_mut(class);
        line.live -= 1;
        if line.tickets.len() > 2 * line.live + MAX_REMOVED {
            line.tickets.retain(|ticket| is_waiting(*ticket));
        }
    }
}
