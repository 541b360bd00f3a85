use std::sync::Arc;

use rhubarbfall_core::{LiteMap, RowVersion};
use rhubarbfall_platform::table::{Committed, Condition, Row, Transaction, TransactionId};
use serde_json::Value;

/// The rows of the table and the transactions that were committed.
#[derive(Debug, Default)]
pub(super) struct TableState {
    rows: LiteMap<Arc<str>, VersionedValue>,
    committed: LiteMap<TransactionId, Committed>,
}

#[derive(Debug, Clone)]
struct VersionedValue {
    version: RowVersion,
    value: Option<Value>,
}

impl TableState {
    /// Applies a transaction, or returns the first condition that fails with the actual version.
    pub(super) fn apply(&mut self, transaction: &Transaction) -> Result<Committed, Condition> {
        if let Some(committed) = self.committed.get(&transaction.id) {
            return Ok(committed.clone());
        }
        for condition in &transaction.conditions {
            let actual = self.version(&condition.key);
            if actual != condition.version {
                return Err(Condition {
                    key: Arc::clone(&condition.key),
                    version: actual,
                });
            }
        }
        let versions = transaction
            .writes
            .iter()
            .map(|write| self.write(&write.key, write.value.clone()))
            .collect();
        let committed = Committed { versions };
        self.committed
            .insert(transaction.id.clone(), committed.clone());
        Ok(committed)
    }

    fn version(&self, key: &Arc<str>) -> RowVersion {
        match self.rows.get(key) {
            Some(stored) if stored.value.is_some() => stored.version,
            _ => RowVersion::default(),
        }
    }

    fn write(&mut self, key: &Arc<str>, value: Option<Value>) -> RowVersion {
        let last = self.rows.get(key).map(|stored| stored.version);
        let version = last.unwrap_or_default().next();
        self.rows
            .insert(Arc::clone(key), VersionedValue { version, value });
        version
    }

    /// Reads one row.
    pub(super) fn read(&self, key: &str) -> Option<Row> {
        let stored = self.rows.get(key)?;
        Some(Row {
            key: Arc::from(key),
            version: stored.version,
            value: stored.value.clone()?,
        })
    }

    /// Reads every row whose key starts with a prefix.
    pub(super) fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.read(key))
            .collect()
    }
}
