use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;
use crate::platform::{Table, TableError, Txn};

/// Stored row that names the leader of a group. It is written only at a change of leader and before
/// a term's first switch, and never renewed: earlier leaders do no harm because the ranks refuse
/// the orders of earlier terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct TermRow {
    holder: Incarnation,
    /// Rank beside the leader that last recorded that it may begin a switch.
    switcher: Option<usize>,
    term: u64,
}

/// A term that this process has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClaimedTerm {
    /// Number of the term.
    pub(super) term: u64,
    /// Rank beside the leader that last recorded that it may begin a switch.
    pub(super) switcher: Option<usize>,
}

/// One process's access to the stored term of a group.
#[derive(Debug)]
pub(super) struct TermStore<T> {
    table: Arc<T>,
    key: String,
    own: Incarnation,
}

impl<T: Table> TermStore<T> {
    /// Access for the process with the incarnation `own`.
    pub(super) fn new(table: Arc<T>, group: &str, own: Incarnation) -> Self {
        Self { table, key: format!("term/{group}"), own }
    }

    /// Begins a new term led by this process, greater than all earlier ones.
    pub(super) async fn claim(&self) -> Result<ClaimedTerm, TableError> {
        let row = self.table.get(&self.key).await?;
        let version = row.as_ref().map(|row| row.version);
        let before = row.map(|row| row.read::<TermRow>()).transpose()?;
        let term = before.map_or(0, |before| before.term) + 1;
        let switcher = before.and_then(|before| before.switcher);
        self.write(TermRow { holder: self.own, switcher, term }, version).await?;
        Ok(ClaimedTerm { term, switcher })
    }

    /// Records, before the first switch of a term, which rank the leader is beside.
    pub(super) async fn record_switcher(&self, term: u64, rank: usize) -> Result<(), TableError> {
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

    /// Checks whether a write whose answer was lost has taken effect.
    async fn confirm(&self, wanted: TermRow, lost: String) -> Result<(), TableError> {
        let row = self.table.get(&self.key).await?;
        match row.map(|row| row.read::<TermRow>()).transpose()? {
            Some(found) if found == wanted => Ok(()),
            _ => Err(TableError::Unknown(lost)),
        }
    }
}
