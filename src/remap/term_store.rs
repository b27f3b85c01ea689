use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::rank_set::ORDERS_PER_TERM;
use crate::id::Incarnation;
use crate::membership::GroupName;
use crate::platform::{Table, TableError, Txn};

/// Number of terms whose fencing tokens stay below 2^53, where JSON numbers are exact.
const MAX_TERM: u64 = (1 << 53) / ORDERS_PER_TERM - 1;
/// Greatest term that is reached by skipping terms. It leaves half of all terms to be claimed one by
/// one.
const MAX_SKIPPED_TERM: u64 = MAX_TERM / 2;

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
pub struct ClaimedTerm {
    /// Number of the term.
    pub term: u64,
    /// Rank beside the leader that last recorded that it may begin a switch.
    pub switcher: Option<usize>,
}

/// Outcome of an attempt to begin a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// This process leads.
    Begun(ClaimedTerm),
    /// Another process has begun this term.
    Newer(u64),
}

/// One process's access to the stored term of a group.
#[derive(Debug)]
pub struct TermStore<T> {
    table: Arc<T>,
    service: String,
    group: GroupName,
    key: String,
    own: Incarnation,
}

impl<T: Table> TermStore<T> {
    /// Access to the term of a group of a service, for the process with the incarnation `own`.
    pub fn new(table: Arc<T>, service: &str, group: &GroupName, own: Incarnation) -> Self {
        let key = if group.is_empty() {
            format!("term/{service}")
        } else {
            format!("term/{service}/{group}")
        };
        Self { table, service: service.to_owned(), group: group.clone(), key, own }
    }

    /// Group whose term this is.
    pub const fn group(&self) -> &GroupName {
        &self.group
    }

    /// Returns the stored term, 0 if there is none.
    ///
    /// # Errors
    /// As [`Table`] says.
    pub async fn stored(&self) -> Result<u64, TableError> {
        let row = self.table.get(&self.key).await?;
        Ok(row.map(|row| row.read::<TermRow>()).transpose()?.map_or(0, |row| row.term))
    }

    /// Begins a new term led by this process, greater than the stored one and than the latest one
    /// that this process knows of: the store may have come back from an older copy.
    ///
    /// If another process has begun a term that this one does not know of, its leader is given time
    /// to show itself: nothing is written.
    ///
    /// # Errors
    /// As [`Table`] says; [`TableError::Conflict`] if another process claims a term at the same time.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use ebonyusher::{id::Incarnation, remap::{Claim, ClaimedTerm, TermStore}};
    /// # use ebonyusher_standin::MemPlatform;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let table = Arc::new(MemPlatform::new());
    /// let terms = TermStore::new(table, "chat", &"g-1".into(), Incarnation::random());
    /// let begun = |claim| matches!(claim, Ok(Claim::Begun(ClaimedTerm { term, .. })) if term > 0);
    /// assert!(begun(terms.claim(0).await));
    /// assert_eq!(terms.claim(0).await, Ok(Claim::Newer(1)));
    /// assert!(begun(terms.claim(7).await));
    /// # });
    /// ```
    pub async fn claim(&self, known: u64) -> Result<Claim, TableError> {
        self.claim_at(known, known + 1).await
    }

    /// Like [`TermStore::claim`], after a rank has refused an order of the latest known term as
    /// fenced. It may come from another group, whose terms are greater, so the new term is at least
    /// twice the known one and greater than all stored terms of the service.
    ///
    /// # Errors
    /// As [`TermStore::claim`].
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use ebonyusher::{id::Incarnation, remap::{Claim, ClaimedTerm, TermStore}};
    /// # use ebonyusher_standin::MemPlatform;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let table = Arc::new(MemPlatform::new());
    /// let terms = TermStore::new(table, "chat", &"g-1".into(), Incarnation::random());
    /// let claimed = terms.claim_ahead(40).await;
    /// assert_eq!(claimed, Ok(Claim::Begun(ClaimedTerm { term: 80, switcher: None })));
    /// # });
    /// ```
    pub async fn claim_ahead(&self, known: u64) -> Result<Claim, TableError> {
        let greatest = self.greatest_of_service().await?.max(known);
        let ahead = (2 * known).max(greatest + 1).min(MAX_SKIPPED_TERM);
        self.claim_at(known, ahead.max(known + 1)).await
    }

    /// Greatest stored term of all groups of the service.
    async fn greatest_of_service(&self) -> Result<u64, TableError> {
        let unnamed = format!("term/{}", self.service);
        let mut rows = self.table.scan(&format!("{unnamed}/")).await?;
        rows.extend(self.table.get(&unnamed).await?);
        let terms = rows.iter().filter_map(|row| Some(row.read::<TermRow>().ok()?.term));
        Ok(terms.max().unwrap_or_default())
    }

    async fn claim_at(&self, known: u64, term: u64) -> Result<Claim, TableError> {
        let row = self.table.get(&self.key).await?;
        let version = row.as_ref().map(|row| row.version);
        let before = row.map(|row| row.read::<TermRow>()).transpose()?;
        let stored = before.map_or(0, |before| before.term);
        if stored > known {
            return Ok(Claim::Newer(stored));
        }
        let switcher = before.and_then(|before| before.switcher);
        self.write(TermRow { holder: self.own, switcher, term }, version).await?;
        Ok(Claim::Begun(ClaimedTerm { term, switcher }))
    }

    /// Records, before the first switch of a term, which rank the leader is beside.
    ///
    /// # Errors
    /// As [`Table`] says; [`TableError::Conflict`] if the stored term is not this one.
    pub async fn record_switcher(&self, term: u64, rank: usize) -> Result<(), TableError> {
        let row = self.table.get(&self.key).await?;
        let version = row.as_ref().map(|row| row.version);
        let present = row.map(|row| row.read::<TermRow>()).transpose()?;
        let has_other_leader = present.is_some_and(|present| {
            present.term > term || (present.term == term && present.holder != self.own)
        });
        // A row of an earlier term, or none, is what a store that came back from an older copy has.
        if has_other_leader {
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
