use std::time::Instant;

use super::{Ticket, WorkRequest};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkState {
    Waiting,
    Running { started_at: Instant },
}

/// A request that waits or runs, and its state.
#[derive(Debug, Clone)]
pub(crate) struct WorkItem {
    pub(crate) request: WorkRequest,
    pub(crate) state: WorkState,
}

/// The requests of an entry, looked up by ticket in constant time.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkSlab {
    /// The current generation of each index and the item that it holds.
    items: Vec<(u32, Option<WorkItem>)>,
    free: Vec<u32>,
}

impl WorkSlab {
    pub(crate) fn insert(&mut self, request: WorkRequest) -> Ticket {
        let item = WorkItem {
            request,
            state: WorkState::Waiting,
        };
        let index = self.free.pop().unwrap_or_else(|| {
            self.items.push((0, None));
            self.items.len() as u32 - 1
        });
        let slot = &mut self.items[index as usize];
        slot.1 = Some(item);
        Ticket {
            index,
            generation: slot.0,
        }
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&WorkItem> {
        let (generation, item) = self.items.get(ticket.index as usize)?;
        item.as_ref().filter(|_| *generation == ticket.generation)
    }

    pub(crate) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut WorkItem> {
        let (generation, item) = self.items.get_mut(ticket.index as usize)?;
        item.as_mut().filter(|_| *generation == ticket.generation)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<WorkItem> {
        self.get(ticket)?;
        let slot = &mut self.items[ticket.index as usize];
        slot.0 = slot.0.wrapping_add(1);
        self.free.push(ticket.index);
        slot.1.take()
    }

    pub(crate) fn is_waiting(&self, ticket: Ticket) -> bool {
        self.get(ticket)
            .is_some_and(|item| item.state == WorkState::Waiting)
    }
}
