use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use thiserror::Error;
use tokio::time::timeout;

use super::MemoryBudget;
use super::leased_bytes::LeasedBytes;

/// Maximum wait for bytes that are given back, before another caller gives way.
const RELEASE_TIME: Duration = Duration::from_millis(100);

/// the process holds as much for its callers as it may
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub struct OutOfMemory;

/// Bytes of a budget that are held for one caller, until dropped.
#[derive(Debug)]
pub struct MemoryLease {
    budget: MemoryBudget,
    bytes: usize,
    /// Size up to which it may also take from the reserve.
    small: usize,
}

impl MemoryLease {
    pub(super) const fn new(budget: MemoryBudget, small: usize) -> Self {
        Self { budget, bytes: 0, small }
    }

    /// Takes more bytes, and returns whether there are as many.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let is_granted = bytes == 0 || self.budget.lend(self.bytes, bytes, self.small);
        if is_granted {
            self.bytes = self.bytes.saturating_add(bytes);
        }
        is_granted
    }

    /// Takes more bytes. If there are not as many, callers that make no progress give way.
    ///
    /// # Errors
    /// [`OutOfMemory`] if too few of those that hold the rest have stalled.
    ///
    /// ```
    /// # use ebonyusher::memory::{MemoryBudget, OutOfMemory};
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let budget = MemoryBudget::new(4 << 10);
    /// let (mut lease, mut other) = (budget.lease(), budget.lease());
    /// lease.grow(4 << 10).await.unwrap();
    /// assert_eq!(other.grow(1).await, Err(OutOfMemory));
    /// assert_eq!(budget.usage().refused, 1);
    /// # });
    /// ```
    pub async fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if self.try_grow(bytes) {
            return Ok(());
        }
        let budget = self.budget.clone();
        loop {
            let released = budget.released();
            if self.try_grow(bytes) {
                return Ok(());
            }
            if !budget.displace_stalled() {
                budget.record_refusal();
                return Err(OutOfMemory);
            }
            timeout(RELEASE_TIME, released).await.ok();
        }
    }

    /// Takes more bytes as soon as there are as many, for what must not be refused.
    ///
    /// ```
    /// # use ebonyusher::memory::MemoryBudget;
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let budget = MemoryBudget::new(4 << 10);
    /// let (mut lease, mut other) = (budget.lease(), budget.lease());
    /// lease.grow(4 << 10).await.unwrap();
    /// tokio::join!(other.grow_when_free(1 << 10), async { lease.close() });
    /// assert_eq!(budget.usage().held, 1 << 10);
    /// # });
    /// ```
    pub async fn grow_when_free(&mut self, bytes: usize) {
        let budget = self.budget.clone();
        loop {
            let released = budget.released();
            if self.try_grow(bytes) {
                return;
            }
            budget.displace_stalled();
            timeout(RELEASE_TIME, released).await.ok();
        }
    }

    /// Takes more bytes as soon as there are as many, or gives some back, so that it has `bytes`.
    pub async fn resize(&mut self, bytes: usize) {
        self.shrink_to(bytes);
        self.grow_when_free(bytes - self.bytes).await;
    }

    /// Gives back all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        if less > 0 {
            self.budget.take_back(self.bytes, less, self.small);
            self.bytes -= less;
        }
    }

    /// Returns the bytes with this lease, which ends when they and all clones of them are dropped.
    ///
    /// ```
    /// # use bytes::Bytes;
    /// # use ebonyusher::memory::MemoryBudget;
    /// let budget = MemoryBudget::new(1 << 10);
    /// let mut lease = budget.lease();
    /// assert!(lease.try_grow(5));
    /// let body = lease.hold(Bytes::from_static(b"hello"));
    /// let part = body.slice(1..);
    /// drop(body);
    /// assert_eq!(budget.usage().held, 5);
    /// drop(part);
    /// assert_eq!(budget.usage().held, 0);
    /// ```
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() { bytes } else { Bytes::from_owner(LeasedBytes::new(bytes, self)) }
    }

    /// Gives all bytes back.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
