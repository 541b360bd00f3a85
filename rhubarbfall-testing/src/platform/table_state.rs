use std::sync::Arc;

use rhubarbfall_core::{LiteMap, RowVersion};
use rhubarbfall_platform::table::{Committed, Condition, Row, Transaction, TransactionId};
use serde_json::Value;

/// Rows of the table and the results of committed transactions, by which a repeated transaction is
/// recognised.
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
    /// Applies a transaction; a repeated one only returns the result of its first commit.
    ///
    /// # Errors
    ///
    /// The first condition that fails, with the row's actual version.
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

    /// Returns a row; `None` if it does not exist or was deleted.
    pub(super) fn read(&self, key: &str) -> Option<Row> {
        let stored = self.rows.get(key)?;
        Some(Row {
            key: Arc::from(key),
            version: stored.version,
            value: stored.value.clone()?,
        })
    }

    /// Returns every row whose key starts with a prefix, in key order.
    pub(super) fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.read(key))
            .collect()
    }
}
