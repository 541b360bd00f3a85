use std::sync::Arc;

use rhubarbfall_core::RowVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::PlatformError;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: Arc<str>,
    /// The version, which each write of the row raises.
    pub version: RowVersion,
    /// The content.
    pub value: Value,
}

impl Row {
    /// Reads the content as a typed value.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Malformed`] when the content has another shape.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        T::deserialize(&self.value)
            .map_err(|error| PlatformError::Malformed(format!("row {}: {error}", self.key).into()))
    }
}
