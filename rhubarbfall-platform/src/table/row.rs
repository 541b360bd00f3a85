use std::sync::Arc;

use rhubarbfall_core::RowVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::PlatformError;

/// A row of the transactional table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: Arc<str>,
    /// The version; each write of the row increases it.
    pub version: RowVersion,
    /// The content as JSON.
    pub value: Value,
}

impl Row {
    /// Deserializes the content.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Malformed`] if the content does not match `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        T::deserialize(&self.value)
            .map_err(|error| PlatformError::Malformed(format!("row {}: {error}", self.key).into()))
    }
}
