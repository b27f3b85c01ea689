use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;
use crate::platform::{Table, TableError, Txn};

/// Who leads a group. Written only when the leader changes: that an earlier one does no harm rests
/// on the ranks, which refuse the orders of earlier terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct TermRow {
    holder: Incarnation,
    term: u64,
}

/// The right to lead a group, as one process sees it.
#[derive(Debug)]
pub(super) struct Terms<T> {
    table: Arc<T>,
    key: String,
    own: Incarnation,
}

impl<T: Table> Terms<T> {
    /// The terms of a group, for a process in its present life.
    pub(super) fn new(table: Arc<T>, group: &str, own: Incarnation) -> Self {
        Self { table, key: format!("term/{group}"), own }
    }

    /// Begins a new term of this process, greater than all before.
    pub(super) async fn claim(&self) -> Result<u64, TableError> {
        let row = self.table.get(&self.key).await?;
        let version = row.as_ref().map(|row| row.version);
        let term = row.map_or(Ok(0), |row| row.read::<TermRow>().map(|row| row.term))? + 1;
        let next = TermRow { holder: self.own, term };
        let txn = Txn::new().check(&self.key, version).put(&self.key, &next);
        match self.table.commit(&txn).await {
            Ok(_) => Ok(term),
            Err(TableError::Unknown(text)) => self.confirm(next, text).await,
            Err(err) => Err(err),
        }
    }

    /// Looks whether a write whose answer was lost has taken effect.
    async fn confirm(&self, wanted: TermRow, lost: String) -> Result<u64, TableError> {
        let row = self.table.get(&self.key).await?;
        match row.map(|row| row.read::<TermRow>()).transpose()? {
            Some(found) if found == wanted => Ok(wanted.term),
            _ => Err(TableError::Unknown(lost)),
        }
    }
}
