use std::time::Instant;

use rhubarbfall_core::{EntryId, Generation, VmId};

use crate::FleetTimings;

/// An entry's word that it sends nothing to a VM and has nothing running there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DrainConfirmation {
    /// The entry that confirms.
    pub entry: EntryId,
    /// The VM.
    pub vm: VmId,
    /// The generation of the VM's row that the entry has applied.
    pub generation: Generation,
}

/// How far the entries of the zone are with the drain of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainProgress {
    generation: Generation,
    since: Instant,
    confirmed: Vec<EntryId>,
}

impl DrainProgress {
    /// Starts counting from when this process first read the committed row.
    #[must_use]
    pub const fn new(generation: Generation, since: Instant) -> Self {
        Self {
            generation,
            since,
            confirmed: Vec::new(),
        }
    }

    /// Records a confirmation; one for an older generation counts for nothing.
    pub fn confirm(&mut self, confirmation: &DrainConfirmation) {
        if confirmation.generation != self.generation {
            return;
        }
        if let Err(index) = self.confirmed.binary_search(&confirmation.entry) {
            self.confirmed.insert(index, confirmation.entry.clone());
        }
    }

    /// Returns whether nothing runs on the VM any more.
    ///
    /// Either every entry of the zone has confirmed, or every view that could route to the VM has
    /// expired and the longest request that such a view could have started has ended. An empty
    /// list of entries means that they are unknown, which proves nothing.
    #[must_use]
    pub fn is_done(&self, entries: &[EntryId], timings: &FleetTimings, now: Instant) -> bool {
        let all_confirmed = !entries.is_empty()
            && entries
                .iter()
                .all(|entry| self.confirmed.binary_search(entry).is_ok());
        let limit = timings.drain_limit();
        all_confirmed || limit.is_some_and(|limit| now >= self.since + limit)
    }

    /// Returns how many entries have not confirmed.
    #[must_use]
    pub fn missing_confirmations(&self, entries: &[EntryId]) -> usize {
        entries
            .iter()
            .filter(|entry| self.confirmed.binary_search(entry).is_err())
            .count()
    }
}
