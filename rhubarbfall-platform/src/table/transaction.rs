use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rhubarbfall_core::RowVersion;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Identifies a transaction, so that the table recognises a retry after a lost response.
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
    /// Creates an identifier from the writer, its incarnation and a number that this incarnation
    /// uses only once.
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

/// A condition of a transaction on the version of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: Arc<str>,
    /// The version that the row must have; zero means that the row must not exist.
    pub version: RowVersion,
}

/// A write or deletion of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: Arc<str>,
    /// The new content, or `None` to delete the row.
    pub value: Option<Value>,
}

/// An atomic set of writes that takes effect only if all conditions hold.
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
    /// The identifier; a retry repeats it.
    pub id: TransactionId,
    /// The conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// The writes, in order.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates a transaction without conditions and writes.
    #[must_use]
    pub const fn new(id: TransactionId) -> Self {
        Self {
            id,
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds the condition that a row has this version; zero means that the row must not exist.
    #[must_use = "returns the changed transaction"]
    pub fn expect(mut self, key: impl Into<Arc<str>>, version: RowVersion) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write that creates a row or replaces its content.
    #[must_use = "returns the changed transaction"]
    pub fn put(mut self, key: impl Into<Arc<str>>, value: Value) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// Adds the deletion of a row.
    #[must_use = "returns the changed transaction"]
    pub fn delete(mut self, key: impl Into<Arc<str>>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// The result of a committed transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The versions of the written rows, in the order of the writes.
    pub versions: Vec<RowVersion>,
}
