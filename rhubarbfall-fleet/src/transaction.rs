use std::sync::Arc;

use rhubarbfall_core::RowVersion;

use crate::{RowKey, RowValue};

/// An atomic conditional transaction on the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetTransaction {
    /// Identifier by which the table recognises a repeated transaction.
    pub id: Arc<str>,
    /// Rows with the versions that they must still have.
    pub conditions: Vec<(RowKey, RowVersion)>,
    /// Rows with their new values.
    pub writes: Vec<(RowKey, RowValue)>,
}
