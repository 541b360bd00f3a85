//! A conflict must not be taken for an earlier attempt of the same batch that was stored: callers
//! would be told that changes are stored which are not.

use rhubarbfall_core::RowVersion;
use rhubarbfall_site::{RowKey, StoredRow, Transaction};

use super::{find_earlier_commit, is_owner_unchanged};

const OWNER_VERSION: RowVersion = RowVersion::new(5);

fn key(key: &str) -> RowKey {
    RowKey::new("progress", "c0", key)
}

fn row(name: &str, value: &[u8], version: u64) -> StoredRow {
    StoredRow {
        key: key(name),
        value: value.to_vec(),
        version: RowVersion::new(version),
        is_removed: false,
    }
}

/// Returns a batch that replaces two rows.
fn batch() -> Transaction {
    Transaction {
        expected: vec![
            (key("owner"), Some(OWNER_VERSION)),
            (key("a"), Some(RowVersion::new(6))),
            (key("b"), None),
        ],
        writes: vec![
            (key("a"), b"cancelled".to_vec()),
            (key("b"), b"new".to_vec()),
        ],
        removed: Vec::new(),
    }
}

#[test]
fn stored_values_under_the_same_owner_are_an_earlier_commit() {
    let rows = [
        row("owner", b"", 5),
        row("a", b"cancelled", 9),
        row("b", b"new", 9),
    ];
    let found = find_earlier_commit(&batch(), &rows);
    assert_eq!(found, Some(RowVersion::new(9)));
}

#[test]
fn values_stored_under_another_owner_are_no_earlier_commit() {
    let rows = [
        row("owner", b"", 8),
        row("a", b"cancelled", 9),
        row("b", b"new", 9),
    ];
    assert_eq!(find_earlier_commit(&batch(), &rows), None);
    assert_eq!(find_earlier_commit(&batch(), &rows[1..]), None);
}

#[test]
fn other_values_and_missing_rows_are_no_earlier_commit() {
    let other = [
        row("owner", b"", 5),
        row("a", b"active", 9),
        row("b", b"new", 9),
    ];
    assert_eq!(find_earlier_commit(&batch(), &other), None);
    let missing = [row("owner", b"", 5), row("a", b"cancelled", 9)];
    assert_eq!(find_earlier_commit(&batch(), &missing), None);
    let removed = StoredRow {
        is_removed: true,
        ..row("b", b"new", 9)
    };
    let rows = [row("owner", b"", 5), row("a", b"cancelled", 9), removed];
    assert_eq!(find_earlier_commit(&batch(), &rows), None);
}

/// The row already has the value that the batch writes, and another row has changed.
#[test]
fn unchanged_value_beside_another_conflict_is_no_earlier_commit() {
    let rows = [
        row("owner", b"", 5),
        row("a", b"cancelled", 6),
        row("b", b"other", 7),
    ];
    assert_eq!(find_earlier_commit(&batch(), &rows), None);
}

/// The store answers a conflict only with the rows that the transaction is conditioned on.
#[test]
fn write_without_a_condition_hides_no_earlier_commit() {
    let mut batch = batch();
    batch.writes.push((key("c"), b"cancelled".to_vec()));
    let rows = [
        row("owner", b"", 5),
        row("a", b"cancelled", 9),
        row("b", b"new", 9),
    ];
    let found = find_earlier_commit(&batch, &rows);
    assert_eq!(found, Some(RowVersion::new(9)));
    batch.expected.truncate(1);
    batch.writes.drain(..2);
    assert_eq!(find_earlier_commit(&batch, &rows), None);
}

/// A transaction gives all of its rows one version.
#[test]
fn values_of_different_versions_are_no_earlier_commit() {
    let rows = [
        row("owner", b"", 5),
        row("a", b"cancelled", 9),
        row("b", b"new", 8),
    ];
    assert_eq!(find_earlier_commit(&batch(), &rows), None);
}

/// Only under an unchanged owner row may a conflict be resolved; otherwise the ownership has ended.
#[test]
fn conflict_tells_whether_the_owner_row_has_changed() {
    assert!(is_owner_unchanged(&batch(), &[row("owner", b"", 5)]));
    assert!(!is_owner_unchanged(&batch(), &[row("owner", b"", 6)]));
    assert!(!is_owner_unchanged(&batch(), &[row("a", b"cancelled", 6)]));
    let removed = StoredRow {
        is_removed: true,
        ..row("owner", b"", 5)
    };
    assert!(!is_owner_unchanged(&batch(), &[removed]));
}
