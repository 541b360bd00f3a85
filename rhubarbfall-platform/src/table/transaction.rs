use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rhubarbfall_core::RowVersion;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Identifies a transaction, so that a repeat after a lost answer is recognised.
///
/// # Examples
///
/// ```
/// use rhubarbfall_platform::table::TransactionId;
///
/// let id = TransactionId::new("entry-1", 7, 42);
/// assert_eq!(id.to_string(), "entry-1:7:42");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransactionId(Arc<str>);

impl TransactionId {
    /// Creates an identifier from the writer, its incarnation and a number that it uses once.
    pub fn new(writer: impl fmt::Display, incarnation: u64, number: u64) -> Self {
        Self(Arc::from(format!("{writer}:{incarnation}:{number}")))
    }

    /// Returns the identifier as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TransactionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for TransactionId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(Arc::from(text)))
    }
}

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: Arc<str>,
    /// The version that the row must have; zero stands for an absent row.
    pub version: RowVersion,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: Arc<str>,
    /// The new content; nothing deletes the row.
    pub value: Option<Value>,
}

/// Writes that take effect together, or not at all when a condition does not hold.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::RowVersion;
/// use rhubarbfall_platform::table::{Transaction, TransactionId};
/// use serde_json::json;
///
/// let insert = Transaction::new(TransactionId::new("entry-1", 1, 1))
///     .expect("vm/vm-1", RowVersion::new(0))
///     .put("vm/vm-1", json!({ "pool": "labels" }));
/// assert_eq!(insert.writes.len(), 1);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The transaction's identifier.
    pub id: TransactionId,
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates a transaction that has no conditions and writes nothing yet.
    #[must_use]
    pub const fn new(id: TransactionId) -> Self {
        Self {
            id,
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Requires that a row has this version; zero stands for an absent row.
    #[must_use = "returns the changed transaction"]
    pub fn expect(mut self, key: impl Into<Arc<str>>, version: RowVersion) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version,
        });
        self
    }

    /// Writes a row.
    #[must_use = "returns the changed transaction"]
    pub fn put(mut self, key: impl Into<Arc<str>>, value: Value) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// Deletes a row.
    #[must_use = "returns the changed transaction"]
    pub fn delete(mut self, key: impl Into<Arc<str>>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// The result of a transaction that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The versions of the written rows, in the order of the writes.
    pub versions: Vec<RowVersion>,
}
