use std::time::Instant;

use rhubarbfall_core::{EntryId, Generation, VmId};

use crate::FleetTimings;

/// An entry's confirmation that it no longer routes to a VM and has no requests running there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DrainConfirmation {
    /// Entry that confirms.
    pub entry: EntryId,
    /// VM that is drained.
    pub vm: VmId,
    /// Generation of the VM's row that the entry has applied.
    pub generation: Generation,
}

/// The drain progress of one VM: which entries of the zone have confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainProgress {
    generation: Generation,
    since: Instant,
    confirmed: Vec<EntryId>,
}

impl DrainProgress {
    /// Creates the progress of a drain; `since` is when this process first read the committed row.
    #[must_use]
    pub const fn new(generation: Generation, since: Instant) -> Self {
        Self {
            generation,
            since,
            confirmed: Vec::new(),
        }
    }

    /// Records a confirmation; one for another generation is ignored.
    pub fn confirm(&mut self, confirmation: &DrainConfirmation) {
        if confirmation.generation != self.generation {
            return;
        }
        if let Err(index) = self.confirmed.binary_search(&confirmation.entry) {
            self.confirmed.insert(index, confirmation.entry.clone());
        }
    }

    /// Returns whether no requests can run on the VM any more.
    ///
    /// This holds once every entry of the zone has confirmed, or once every routing view that
    /// could include the VM has expired and the longest request started from such a view has
    /// ended. An empty `entries` means that the entries are unknown and never completes a drain
    /// by confirmation.
    #[must_use]
    pub fn is_done(&self, entries: &[EntryId], timings: &FleetTimings, now: Instant) -> bool {
        let all_confirmed = !entries.is_empty()
            && entries
                .iter()
                .all(|entry| self.confirmed.binary_search(entry).is_ok());
        let limit = timings.drain_limit();
        all_confirmed || limit.is_some_and(|limit| now >= self.since + limit)
    }

    /// Returns how many of `entries` have not confirmed.
    #[must_use]
    pub fn missing_confirmations(&self, entries: &[EntryId]) -> usize {
        entries
            .iter()
            .filter(|entry| self.confirmed.binary_search(entry).is_err())
            .count()
    }
}
