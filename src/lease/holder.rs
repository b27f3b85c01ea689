use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;
use tokio::time::Instant;

use super::{LeaseRow, lease_key};
use crate::id::Incarnation;
use crate::platform::{Table, TableError, Txn};

/// Fraction of its length for which a lease is valid for its holder, counted from the moment the
/// renewal was sent. The rest keeps holder and successor apart although their clocks run at
/// slightly different speeds.
const SAFE_FRACTION: f64 = 0.7;

/// Holder in the row of a released lease.
const FREE: Incarnation = Incarnation::from_raw(0);

/// Why a lease was not acquired or renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum LeaseError {
    /// another process holds the lease
    Taken,
    /// the platform's table is unavailable
    StoreDown,
}

impl From<TableError> for LeaseError {
    fn from(_: TableError) -> Self {
        Self::StoreDown
    }
}

/// One process's view of a lease. The process takes the lease over when the row has not changed for
/// the lease's length on its own clock; no clocks are compared.
#[derive(Debug)]
pub struct Lease<P> {
    platform: Arc<P>,
    key: String,
    own: Incarnation,
    length: Duration,
    /// Last row seen, and the time since when it has not changed.
    seen: Option<(LeaseRow, Instant)>,
    /// Time until which this process holds the lease.
    until: Option<Instant>,
}

impl<P: Table> Lease<P> {
    /// A lease that this process does not hold yet.
    pub fn new(platform: Arc<P>, name: &str, own: Incarnation, length: Duration) -> Self {
        Self { platform, key: lease_key(name), own, length, seen: None, until: None }
    }

    /// The fencing token, if this process currently holds the lease.
    pub fn fence(&self) -> Option<u64> {
        let held = self.until.is_some_and(|until| Instant::now() < until);
        self.seen.filter(|_| held).map(|(row, _)| row.fence)
    }

    /// Acquires or renews the lease, and returns the fencing token.
    ///
    /// # Errors
    /// [`LeaseError::Taken`] while another process holds it, [`LeaseError::StoreDown`] if the table
    /// does not answer; a lease that this process holds then stays valid until it expires.
    pub async fn hold(&mut self) -> Result<u64, LeaseError> {
        self.renew(false).await
    }

    /// Renews the lease with a greater fencing token, so that this process's own earlier orders are
    /// refused as if another process had taken over.
    ///
    /// # Errors
    /// As for [`Lease::hold`].
    pub async fn advance(&mut self) -> Result<u64, LeaseError> {
        self.renew(true).await
    }

    async fn renew(&mut self, advance: bool) -> Result<u64, LeaseError> {
        let sent = Instant::now();
        let row = self.platform.get(&self.key).await?;
        let version = row.as_ref().map(|row| row.version);
        let present = row.map(|row| row.read::<LeaseRow>()).transpose()?;
        let mut next = self.next_row(present)?;
        next.fence += u64::from(advance);
        let txn = Txn::new().check(&self.key, version).put(&self.key, &next);
        match self.platform.commit(&txn).await {
            Ok(_) => {}
            Err(TableError::Conflict) => return Err(LeaseError::Taken),
            // If only the answer was lost, the next call finds this process in the row.
            Err(_) => return Err(LeaseError::StoreDown),
        }
        self.seen = Some((next, sent));
        self.until = Some(sent + self.length.mul_f64(SAFE_FRACTION));
        Ok(next.fence)
    }

    /// Returns the row that this process may write, given the present one.
    fn next_row(&mut self, present: Option<LeaseRow>) -> Result<LeaseRow, LeaseError> {
        let Some(present) = present else {
            return Ok(LeaseRow { holder: self.own, fence: 1, beat: 0 });
        };
        if present.holder == self.own {
            return Ok(LeaseRow { beat: present.beat + 1, ..present });
        }
        let since = self.seen.filter(|(row, _)| *row == present).map(|(_, since)| since);
        let now = Instant::now();
        let stale = since.is_some_and(|since| now.saturating_duration_since(since) >= self.length);
        if stale || present.holder == FREE {
            return Ok(LeaseRow { holder: self.own, fence: present.fence + 1, beat: 0 });
        }
        self.until = None;
        self.seen = Some((present, since.unwrap_or(now)));
        Err(LeaseError::Taken)
    }

    /// Releases the lease, so that the next holder need not wait for it to expire.
    pub async fn release(self) {
        let Some((row, _)) = self.seen.filter(|(row, _)| row.holder == self.own) else {
            return;
        };
        let Ok(Some(present)) = self.platform.get(&self.key).await else {
            return;
        };
        if present.read::<LeaseRow>().is_ok_and(|found| found.holder == self.own) {
            // The fencing token stays in the row: it must never decrease.
            let freed = LeaseRow { holder: FREE, beat: row.beat + 1, ..row };
            let txn = Txn::new().check(&self.key, Some(present.version)).put(&self.key, &freed);
            self.platform.commit(&txn).await.ok();
        }
    }
}
