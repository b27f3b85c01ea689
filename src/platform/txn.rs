use serde::{Deserialize, Serialize};
use serde_json::Value;
use smallvec::SmallVec;

/// A condition of a transaction: the row has this version or is absent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have, `None` if it must be absent.
    pub version: Option<u64>,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value, `None` to delete the row.
    pub value: Option<Value>,
}

/// A set of writes that are applied atomically, and only if every check holds.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Txn {
    /// Conditions of the transaction.
    pub checks: SmallVec<[Check; 3]>,
    /// Writes of the transaction.
    pub writes: SmallVec<[Write; 3]>,
}

impl Txn {
    /// Creates a transaction with no checks and no writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that a row has a version, or is absent for `None`.
    #[must_use]
    pub fn check(mut self, key: &str, version: Option<u64>) -> Self {
        self.checks.push(Check { key: key.to_owned(), version });
        self
    }

    /// Adds a write of a value.
    ///
    /// ```
    /// # use ebonyusher::platform::Txn;
    /// let txn = Txn::new().check("a", None).put("a", &1);
    /// assert_eq!(txn.writes.len(), 1);
    /// ```
    ///
    /// # Panics
    /// If the value can't be serialized as JSON; every record of this crate can.
    #[must_use]
    pub fn put<T: Serialize>(mut self, key: &str, value: &T) -> Self {
        let value = serde_json::to_value(value).expect("records are plain JSON");
        self.writes.push(Write { key: key.to_owned(), value: Some(value) });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write { key: key.to_owned(), value: None });
        self
    }
}
