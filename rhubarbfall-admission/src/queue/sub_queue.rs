use std::collections::VecDeque;

use rhubarbfall_core::QueueId;

use super::{Ticket, WorkClass};

/// Removed tickets are swept out when they outnumber the waiting ones by this many.
const MAX_REMOVED_TICKETS: usize = 32;

/// The waiting requests of one team in one queue, by class.
#[derive(Debug, Clone)]
pub(crate) struct SubQueue {
    pub(crate) queue: QueueId,
    pub(crate) weight: f64,
    /// The virtual time up to which the sub-queue has been served.
    pub(crate) virtual_time: f64,
    urgent: Fifo,
    batch: Fifo,
}

/// Waiting requests in the order of arrival; removed ones stay in place until they are swept out.
#[derive(Debug, Clone, Default)]
struct Fifo {
    tickets: VecDeque<Ticket>,
    waiting: usize,
}

impl SubQueue {
    pub(crate) fn new(queue: QueueId, weight: f64) -> Self {
        Self {
            queue,
            weight,
            virtual_time: 0.0,
            urgent: Fifo::default(),
            batch: Fifo::default(),
        }
    }

    const fn fifo(&self, class: WorkClass) -> &Fifo {
        match class {
            WorkClass::Urgent => &self.urgent,
            WorkClass::Batch => &self.batch,
        }
    }

    const fn fifo_mut(&mut self, class: WorkClass) -> &mut Fifo {
        match class {
            WorkClass::Urgent => &mut self.urgent,
            WorkClass::Batch => &mut self.batch,
        }
    }

    pub(crate) const fn waiting(&self, class: WorkClass) -> usize {
        self.fifo(class).waiting
    }

    pub(crate) fn push(&mut self, class: WorkClass, ticket: Ticket) {
        let fifo = self.fifo_mut(class);
        fifo.tickets.push_back(ticket);
        fifo.waiting += 1;
    }

    /// Takes the oldest request for which `is_waiting` holds.
    pub(crate) fn pop(
        &mut self,
        class: WorkClass,
        is_waiting: impl Fn(Ticket) -> bool,
    ) -> Option<Ticket> {
        let fifo = self.fifo_mut(class);
        while let Some(ticket) = fifo.tickets.pop_front() {
            if is_waiting(ticket) {
                fifo.waiting -= 1;
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
        let mut tickets = self.fifo(class).tickets.iter().rev().copied();
        tickets.find(|ticket| is_waiting(*ticket))
    }

    /// Counts one request less; `is_waiting` no longer holds for it.
    pub(crate) fn remove(&mut self, class: WorkClass, is_waiting: impl Fn(Ticket) -> bool) {
        let fifo = self.fifo_mut(class);
        fifo.waiting -= 1;
        if fifo.tickets.len() > 2 * fifo.waiting + MAX_REMOVED_TICKETS {
            fifo.tickets.retain(|ticket| is_waiting(*ticket));
        }
    }
}
