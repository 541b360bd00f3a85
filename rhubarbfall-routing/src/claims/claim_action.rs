use rhubarbfall_core::RowVersion;

use super::ClaimSegment;

/// The next table operation of a claim ledger, which awaits the result before it requests another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the base row and the segments starting at `from`, or at the oldest one if it is `None`.
    Read {
        /// The first sequence number that the ledger has not read.
        from: Option<u64>,
    },
    /// Insert the base row if it does not exist.
    CreateBase,
    /// Insert a segment if its row does not exist and the base row has the given version.
    Append {
        /// The version of the base row at the ledger's last read.
        base_version: RowVersion,
        /// The segment; a retry of the append has the same content.
        segment: ClaimSegment,
    },
    /// Delete the oldest segments if the base row has the given version.
    Trim {
        /// The version of the base row at the ledger's last read.
        base_version: RowVersion,
        /// The oldest sequence number in the log before the deletion.
        first: u64,
        /// The oldest sequence number that is kept.
        new_first: u64,
    },
}
