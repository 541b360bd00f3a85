//! The workers of one service that accept work, by the capacity that they have left.
//!
//! The load: hundreds of tasks are placed in one pass, on pools of hundreds of workers of which most
//! are full. A task looks at the workers that have room for it only, the fullest first.

use crate::{Resources, Worker};

/// What a worker has left, and its position among all workers.
type Entry = (u64, u64, usize);

fn entry(free: Resources, index: usize) -> Entry {
    (free.cpu_millis, free.memory_mb, index)
}

/// Workers sorted by free CPU, then by free memory, then by identifier.
#[derive(Debug, Default)]
pub(super) struct FreeRoom {
    entries: Vec<Entry>,
}

impl FreeRoom {
    /// Sorts workers, each given with its position among all workers.
    pub(super) fn new<'a>(workers: impl Iterator<Item = (usize, &'a Worker)>) -> Self {
        let with_free = workers.map(|(index, worker)| entry(worker.free_capacity(), index));
        let mut entries: Vec<Entry> = with_free.collect();
        entries.sort_unstable();
        Self { entries }
    }

    /// Returns the positions of the workers with at least this CPU and memory, those with the least
    /// CPU first.
    pub(super) fn fitting(&self, demand: Resources) -> impl Iterator<Item = usize> {
        let first = self
            .entries
            .partition_point(|(cpu_millis, _, _)| *cpu_millis < demand.cpu_millis);
        self.entries[first..]
            .iter()
            .filter(move |(_, memory_mb, _)| *memory_mb >= demand.memory_mb)
            .map(|(_, _, index)| *index)
    }

    /// Moves a worker to its place after its free capacity has changed.
    pub(super) fn update(&mut self, index: usize, before: Resources, after: Resources) {
        if let Ok(position) = self.entries.binary_search(&entry(before, index)) {
            self.entries.remove(position);
            let entry = entry(after, index);
            let position = self.entries.partition_point(|known| *known < entry);
            self.entries.insert(position, entry);
        }
    }
}
