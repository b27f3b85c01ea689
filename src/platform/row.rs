use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::TableError;

/// One row of the table, with the version of its last write.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the row's last write. It grows with each write to any row of the table.
    pub version: u64,
    /// Value of the row.
    pub value: Value,
}

impl Row {
    /// Deserializes the row's value.
    ///
    /// # Errors
    /// [`TableError::Malformed`] if the value does not have the expected structure.
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
