use std::future::Future;

use super::{Row, TableError, Txn};

/// The platform's transactional table.
pub trait Table: Send + Sync + 'static {
    /// Reads one row.
    ///
    /// # Errors
    /// [`TableError::Unavailable`] if the table does not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, TableError>> + Send;

    /// Reads all rows whose name starts with a prefix, in order of name.
    ///
    /// # Errors
    /// [`TableError::Unavailable`] if the table does not answer.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, TableError>> + Send;

    /// Applies a transaction and gives the version of its writes.
    ///
    /// # Errors
    /// [`TableError::Conflict`] if a check failed, [`TableError::Unavailable`] if nothing was
    /// written, [`TableError::Unknown`] if it can't be told.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<u64, TableError>> + Send;
}
