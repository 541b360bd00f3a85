use std::collections::VecDeque;

use rhubarbfall_core::QueueId;

use super::{Ticket, WorkClass};

/// A FIFO is compacted when removed tickets outnumber waiting ones by more than this.
const MAX_REMOVED_TICKETS: usize = 32;

/// The waiting requests of one team in one queue, by class.
#[derive(Debug, Clone)]
pub(crate) struct SubQueue {
    pub(crate) queue: QueueId,
    pub(crate) weight: f64,
    /// The virtual time of weighted fair queueing up to which the sub-queue has been served.
    pub(crate) virtual_time: f64,
    urgent: Fifo,
    batch: Fifo,
}

/// Waiting requests in order of arrival. Removed tickets stay in place until the next compaction.
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

    /// Removes and returns the oldest request for which `is_waiting` holds.
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

    /// Returns the newest request for which `is_waiting` holds, without removing it.
    pub(crate) fn newest(
        &self,
        class: WorkClass,
        is_waiting: impl Fn(Ticket) -> bool,
    ) -> Option<Ticket> {
        let mut tickets = self.fifo(class).tickets.iter().rev().copied();
        tickets.find(|ticket| is_waiting(*ticket))
    }

    /// Decrements the count for a removed request, for which `is_waiting` no longer holds.
    pub(crate) fn remove(&mut self, class: WorkClass, is_waiting: impl Fn(Ticket) -> bool) {
        let fifo = self.fifo_mut(class);
        fifo.waiting -= 1;
        if fifo.tickets.len() > 2 * fifo.waiting + MAX_REMOVED_TICKETS {
            fifo.tickets.retain(|ticket| is_waiting(*ticket));
        }
    }
}
