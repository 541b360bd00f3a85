use rhubarbfall_core::{EntryId, Incarnation, Revision};
use serde::{Deserialize, Serialize};

/// The slots of one team that one entry process owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The entry that owns the slots.
    pub entry: EntryId,
    /// The process on that entry's VM.
    pub incarnation: Incarnation,
    /// The slots that the process owns until it gives them up.
    pub slots: u32,
    /// The slots that it would like to own besides.
    #[serde(default)]
    pub wanted_slots: u32,
}

/// The row of the platform's table that divides one team's upper limit.
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
    /// The upper limit at `revision`.
    pub limit_slots: u32,
    /// The newest revision of the document that a writer of the row knew.
    pub revision: Revision,
    /// The grants, sorted by entry and incarnation.
    pub grants: Vec<Grant>,
}

impl LedgerRow {
    /// Returns the sum of all grants.
    #[must_use]
    pub fn granted_slots(&self) -> u32 {
        self.grants.iter().map(|grant| grant.slots).sum()
    }

    /// Returns the slots that one process owns.
    #[must_use]
    pub fn slots_of(&self, entry: &EntryId, incarnation: Incarnation) -> u32 {
        self.find(entry, incarnation)
            .map_or(0, |index| self.grants[index].slots)
    }

    /// Sets what one process owns and wants; a process that has and wants nothing is removed.
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
