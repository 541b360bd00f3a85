use rhubarbfall_core::RowVersion;

use super::ClaimSegment;

/// What the ledger wants done at the table next; it waits for the result before it asks again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the base row and the segments from `from` on, from the oldest one if it is absent.
    Read {
        /// The first sequence number that the ledger has not seen.
        from: Option<u64>,
    },
    /// Insert the base row if it is absent.
    CreateBase,
    /// Insert a segment, on the condition that its row is absent and the base row has this version.
    Append {
        /// The base row's version that the ledger has read.
        base_version: RowVersion,
        /// The segment; a repeat of an append has the same content.
        segment: ClaimSegment,
    },
    /// Remove segments, on the condition that the base row has this version.
    Trim {
        /// The base row's version that the ledger has read.
        base_version: RowVersion,
        /// The oldest sequence number that the log has before the removal.
        first: u64,
        /// The oldest sequence number that is kept.
        new_first: u64,
    },
}
