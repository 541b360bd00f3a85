use serde::Serialize;

/// A summary of a claim ledger for the dump of a process's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClaimLedgerSnapshot {
    /// Whether the log has been read.
    pub is_loaded: bool,
    /// The oldest sequence number of the log.
    pub first: u64,
    /// The newest sequence number that was read.
    pub tail: u64,
    /// How many request identifiers are taken.
    pub taken_requests: usize,
    /// How many claims wait to be appended.
    pub waiting_claims: usize,
    /// How many claims are in the append that is under way.
    pub appending_claims: usize,
    /// How many releases wait to be appended.
    pub waiting_releases: usize,
    /// How many appends were committed.
    pub appends: u64,
    /// How many appends met one of another entry.
    pub conflicts: u64,
}
