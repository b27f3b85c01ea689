use std::future::Future;

use super::{Row, TableError, Txn};

/// The platform's transactional table.
pub trait Table: Send + Sync + 'static {
    /// Reads one row, `None` if it is absent.
    ///
    /// # Errors
    /// [`TableError::Unavailable`] if the table does not respond or refuses the read,
    /// [`TableError::Malformed`] if the row can't be read.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, TableError>> + Send;

    /// Reads all rows whose key starts with a prefix, in order of the keys.
    ///
    /// # Errors
    /// [`TableError::Unavailable`] if the table does not respond or refuses the read,
    /// [`TableError::Malformed`] if a row can't be read.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, TableError>> + Send;

    /// Applies a transaction and returns the version of its writes.
    ///
    /// # Errors
    /// [`TableError::Conflict`] if a check failed, [`TableError::Unavailable`] if nothing was
    /// written, [`TableError::Unknown`] if the response was lost and the writes may have been made.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<u64, TableError>> + Send;
}
