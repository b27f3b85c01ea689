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
    /// The rank beside the last leader that may have begun a switch.
    switcher: Option<usize>,
    term: u64,
}

/// A term that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Claimed {
    /// Number of the term.
    pub(super) term: u64,
    /// The rank beside the last leader that may have begun a switch.
    pub(super) switcher: Option<usize>,
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
    pub(super) async fn claim(&self) -> Result<Claimed, TableError> {
        let row = self.table.get(&self.key).await?;
        let version = row.as_ref().map(|row| row.version);
        let before = row.map(|row| row.read::<TermRow>()).transpose()?;
        let term = before.map_or(0, |before| before.term) + 1;
        let switcher = before.and_then(|before| before.switcher);
        self.write(TermRow { holder: self.own, switcher, term }, version).await?;
        Ok(Claimed { term, switcher })
    }

    /// Notes, before the first switch of a term, which rank the leader stands beside.
    pub(super) async fn begin(&self, term: u64, rank: usize) -> Result<(), TableError> {
        let row = self.table.get(&self.key).await?;
        let version = row.as_ref().map(|row| row.version);
        let present = row.map(|row| row.read::<TermRow>()).transpose()?;
        if present.is_none_or(|present| present.holder != self.own || present.term != term) {
            return Err(TableError::Conflict);
        }
        self.write(TermRow { holder: self.own, switcher: Some(rank), term }, version).await
    }

    async fn write(&self, next: TermRow, version: Option<u64>) -> Result<(), TableError> {
        let txn = Txn::new().check(&self.key, version).put(&self.key, &next);
        match self.table.commit(&txn).await {
            Ok(_) => Ok(()),
            Err(TableError::Unknown(text)) => self.confirm(next, text).await,
            Err(err) => Err(err),
        }
    }

    /// Looks whether a write whose answer was lost has taken effect.
    async fn confirm(&self, wanted: TermRow, lost: String) -> Result<(), TableError> {
        let row = self.table.get(&self.key).await?;
        match row.map(|row| row.read::<TermRow>()).transpose()? {
            Some(found) if found == wanted => Ok(()),
            _ => Err(TableError::Unknown(lost)),
        }
    }
}
