use std::collections::BTreeMap;

use super::*;

/// The rows of a store that applies transactions under their conditions.
#[derive(Default)]
struct Rows {
    rows: BTreeMap<String, (RowVersion, Vec<u8>)>,
    version: u64,
}

impl Rows {
    fn write(&mut self, key: &RowKey, value: &[u8]) -> RowVersion {
        self.version += 1;
        let version = RowVersion::new(self.version);
        self.rows
            .insert(format!("{key:?}"), (version, value.to_vec()));
        version
    }

    fn version_of(&self, key: &RowKey) -> Option<RowVersion> {
        self.rows
            .get(&format!("{key:?}"))
            .map(|(version, _)| *version)
    }

    /// Applies a transaction if its conditions hold, and returns the version of its rows.
    fn commit(&mut self, transaction: &Transaction) -> Option<RowVersion> {
        let mut expected = transaction.expected.iter();
        if !expected.all(|(key, version)| self.version_of(key) == *version) {
            return None;
        }
        let (key, value) = transaction.writes.first()?;
        Some(self.write(key, value))
    }
}

fn wave() -> WaveId {
    "3".parse().expect("valid wave name")
}

fn request_key() -> RowKey {
    RowKey::new(OPERATOR_TABLE, "", wave_key(&wave()))
}

/// Guards against a copy of a report without an answer that takes effect seconds later.
#[test]
fn late_copy_of_a_report_changes_nothing() {
    let mut rows = Rows::default();
    let requested = Some(rows.write(&request_key(), b"request"));
    let late = report_transaction(&wave(), WaveState::Running, requested, None);
    let first = rows.commit(&late);
    assert!(first.is_some());
    let next = report_transaction(&wave(), WaveState::Completed, requested, first);
    assert!(rows.commit(&next).is_some());
    assert_eq!(rows.commit(&late), None);
}

/// Guards against a report about an earlier request after an operator has written it again.
#[test]
fn report_about_an_earlier_request_is_not_stored() {
    let mut rows = Rows::default();
    let requested = Some(rows.write(&request_key(), b"request"));
    let completed = report_transaction(&wave(), WaveState::Completed, requested, None);
    rows.write(&request_key(), b"request with one VM more");
    assert_eq!(rows.commit(&completed), None);
}
