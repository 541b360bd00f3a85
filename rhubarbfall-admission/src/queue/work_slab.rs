use std::time::Instant;

use super::{Ticket, WorkRequest};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkState {
    Waiting,
    Running { started_at: Instant },
}

/// A request that is waiting for a slot or running on an upstream.
#[derive(Debug, Clone)]
pub(crate) struct WorkItem {
    pub(crate) request: WorkRequest,
    pub(crate) state: WorkState,
}

/// A slab of the requests that wait or run at this entry, with constant-time access by ticket.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkSlab {
    /// The generation and the item of each index. The generation changes when an item is removed,
    /// so that a ticket of an earlier item at the same index matches nothing.
    items: Vec<(u32, Option<WorkItem>)>,
    free_indices: Vec<u32>,
}

impl WorkSlab {
    pub(crate) fn insert(&mut self, request: WorkRequest) -> Ticket {
        let item = WorkItem {
            request,
            state: WorkState::Waiting,
        };
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.items.push((0, None));
            self.items.len() as u32 - 1
        });
        let generation_and_item = &mut self.items[index as usize];
        generation_and_item.1 = Some(item);
        Ticket {
            index,
            generation: generation_and_item.0,
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
        let generation_and_item = &mut self.items[ticket.index as usize];
        generation_and_item.0 = generation_and_item.0.wrapping_add(1);
        self.free_indices.push(ticket.index);
        generation_and_item.1.take()
    }

    pub(crate) fn is_waiting(&self, ticket: Ticket) -> bool {
        self.get(ticket)
            .is_some_and(|item| item.state == WorkState::Waiting)
    }
}
