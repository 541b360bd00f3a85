use serde::Serialize;

/// Summary of a claim ledger for the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClaimLedgerSnapshot {
    /// Whether the log has been read to its end.
    pub is_loaded: bool,
    /// The oldest known sequence number in the log.
    pub first: u64,
    /// The newest sequence number that was read.
    pub tail: u64,
    /// Number of requests that are claimed in the log.
    pub taken_requests: usize,
    /// Number of claims that wait to be appended.
    pub waiting_claims: usize,
    /// Number of claims in the pending append.
    pub appending_claims: usize,
    /// Number of releases that wait to be appended.
    pub waiting_releases: usize,
    /// Number of committed appends.
    pub appends: u64,
    /// Number of appends that conflicted with a write of another entry.
    pub conflicts: u64,
}
