use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::TableError;

/// One row of the table, with the version that the table gave to its last write.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Name of the row.
    pub key: String,
    /// Greater after each write of any row.
    pub version: u64,
    /// What the row holds.
    pub value: Value,
}

impl Row {
    /// Reads the row's value as a typed record.
    ///
    /// # Errors
    /// [`TableError::Malformed`] if the value has another shape.
    ///
    /// ```
    /// # use ebonyusher::platform::Row;
    /// let row = Row { key: "k".into(), version: 1, value: serde_json::json!(7) };
    /// assert_eq!(row.read::<u32>().unwrap(), 7);
    /// ```
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, TableError> {
        T::deserialize(&self.value)
            .map_err(|err| TableError::Malformed(format!("{}: {err}", self.key)))
    }
}
