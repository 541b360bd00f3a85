use rhubarbfall_core::{EntryId, Incarnation, Revision};
use serde::{Deserialize, Serialize};

/// The slots of one team's upper limit that one entry process owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The entry that owns the slots.
    pub entry: EntryId,
    /// The incarnation of the process on the entry's VM.
    pub incarnation: Incarnation,
    /// The slots that the process owns until it releases them or is known to have ended.
    pub slots: u32,
    /// The further slots that the process wants to own.
    #[serde(default)]
    pub wanted_slots: u32,
}

/// The row of the platform's table that divides one team's upper limit among entry processes.
///
/// # Examples
///
/// ```
/// use rhubarbfall_admission::LedgerRow;
///
/// let row = LedgerRow::default();
/// assert_eq!(row.granted_slots(), 0);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// The team's upper limit at `revision`.
    pub limit_slots: u32,
    /// The newest document revision that any writer of the row had read.
    pub revision: Revision,
    /// The grants, sorted by entry, then by incarnation.
    pub grants: Vec<Grant>,
}

impl LedgerRow {
    /// Returns the slots of all grants together.
    #[must_use]
    pub fn granted_slots(&self) -> u32 {
        self.grants.iter().map(|grant| grant.slots).sum()
    }

    /// Returns the slots that one process owns, zero if it has no grant.
    #[must_use]
    pub fn slots_of(&self, entry: &EntryId, incarnation: Incarnation) -> u32 {
        self.find(entry, incarnation)
            .map_or(0, |index| self.grants[index].slots)
    }

    /// Sets the slots that one process owns and wants; removes its grant if both are zero.
    pub fn set(&mut self, entry: &EntryId, incarnation: Incarnation, slots: u32, wanted: u32) {
        let position = self.find(entry, incarnation);
        if slots == 0 && wanted == 0 {
            if let Ok(index) = position {
                self.grants.remove(index);
            }
            return;
        }
        let grant = Grant {
            entry: entry.clone(),
            incarnation,
            slots,
            wanted_slots: wanted,
        };
        match position {
            Ok(index) => self.grants[index] = grant,
            Err(index) => self.grants.insert(index, grant),
        }
    }

    fn find(&self, entry: &EntryId, incarnation: Incarnation) -> Result<usize, usize> {
        self.grants
            .binary_search_by(|grant| (&grant.entry, grant.incarnation).cmp(&(entry, incarnation)))
    }
}
