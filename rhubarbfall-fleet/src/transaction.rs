use std::sync::Arc;

use rhubarbfall_core::RowVersion;

use crate::{RowKey, RowValue};

/// One conditional transaction on the table: it takes effect whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetTransaction {
    /// Names the transaction, so that the table recognises a repetition.
    pub id: Arc<str>,
    /// The rows that must still have these versions.
    pub conditions: Vec<(RowKey, RowVersion)>,
    /// The new values.
    pub writes: Vec<(RowKey, RowValue)>,
}
