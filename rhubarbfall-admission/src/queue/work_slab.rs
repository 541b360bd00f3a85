use std::time::Instant;

use super::{Ticket, WorkRequest};

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkState {
    Waiting,
    Running { started_at: Instant },
}

/// One request that waits or runs.
#[derive(Debug, Clone)]
pub(crate) struct WorkEntry {
    pub(crate) request: WorkRequest,
    pub(crate) state: WorkState,
}

/// The requests of an entry, found by ticket in constant time.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkSlab {
    entries: Vec<(u32, Option<WorkEntry>)>,
    free: Vec<u32>,
}

impl WorkSlab {
    pub(crate) fn insert(&mut self, request: WorkRequest) -> Ticket {
        let entry = WorkEntry {
            request,
            state: WorkState::Waiting,
        };
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push((0, None));
            self.entries.len() as u32 - 1
        });
        let slot = &mut self.entries[index as usize];
        slot.1 = Some(entry);
        Ticket {
            index,
            serial: slot.0,
        }
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&WorkEntry> {
        let (serial, entry) = self.entries.get(ticket.index as usize)?;
        entry.as_ref().filter(|_| *serial == ticket.serial)
    }

    pub(crate) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut WorkEntry> {
        let (serial, entry) = self.entries.get_mut(ticket.index as usize)?;
        entry.as_mut().filter(|_| *serial == ticket.serial)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<WorkEntry> {
        self.get(ticket)?;
        let slot = &mut self.entries[ticket.index as usize];
        slot.0 = slot.0.wrapping_add(1);
        self.free.push(ticket.index);
        slot.1.take()
    }

    pub(crate) fn is_waiting(&self, ticket: Ticket) -> bool {
        self.get(ticket)
            .is_some_and(|entry| entry.state == WorkState::Waiting)
    }
}
