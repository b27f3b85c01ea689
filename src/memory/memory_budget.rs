use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{CallerWait, MemoryLease};

/// Size up to which a lease may also take from the reserve.
const SMALL_BYTES: usize = 64 << 10;
/// Size up to which events are held without a lease.
const SMALL_EVENT_BYTES: usize = 1 << 10;
/// The budget divided by the reserve for small leases.
const RESERVE_DIVISOR: usize = 4;
/// Time without progress of a caller after which what is held for it may go to another one.
const STALL_TIME: Duration = Duration::from_secs(1);

/// The bytes that a process may hold for its callers. Clones share it.
///
/// All of it is lent as [`MemoryLease`]s. The last quarter is reserved for small leases, so that a
/// few large requests don't keep out the small ones. A large lease is granted whatever its size if
/// there is no other large one. Once the budget is used up, callers that make no progress lose what
/// is held for them to others.
///
/// ```
/// # use ebonyusher::memory::MemoryBudget;
/// let budget = MemoryBudget::new(8 << 20);
/// let (mut large, mut other) = (budget.lease(), budget.lease());
/// assert!(large.try_grow(5 << 20));
/// assert!(!other.try_grow(2 << 20));
/// assert!(other.try_grow(1 << 10));
/// large.close();
/// assert!(other.try_grow(2 << 20));
/// ```
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

/// How much of a budget is used, and how often it was used up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Bytes that are held.
    pub held: usize,
    /// Number of leases that were refused.
    pub refused: u64,
    /// Number of callers that lost what was held for them, since they made no progress.
    pub displaced: u64,
}

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    state: Mutex<State>,
    released: Notify,
    used_up: Notify,
}

#[derive(Debug, Default)]
struct State {
    usage: MemoryUse,
    /// Bytes of the leases that are not small.
    large: usize,
    /// The callers that the process waits for.
    waits: HashMap<u64, Wait>,
    next_wait: u64,
}

/// A caller that the process waits for.
#[derive(Debug)]
struct Wait {
    /// When it last made progress.
    moved_at: Instant,
    displaced: CancellationToken,
}

impl MemoryBudget {
    /// Creates a budget of so many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self(Arc::new(Shared {
            max_bytes,
            state: Mutex::default(),
            released: Notify::new(),
            used_up: Notify::new(),
        }))
    }

    /// Creates a budget without a bound, for processes whose callers are known.
    pub fn unbounded() -> Self {
        Self::new(usize::MAX)
    }

    /// Returns a lease of no bytes.
    pub fn lease(&self) -> MemoryLease {
        MemoryLease::new(self.clone(), SMALL_BYTES)
    }

    /// Returns a lease of no bytes that never takes from the reserve.
    pub fn bulk_lease(&self) -> MemoryLease {
        MemoryLease::new(self.clone(), 0)
    }

    /// Returns events with the memory that is taken for them, as soon as it is free. Small ones are
    /// held without: the channel to a caller takes few of them.
    pub async fn hold_events(&self, events: Bytes) -> Bytes {
        if events.len() <= SMALL_EVENT_BYTES {
            return events;
        }
        let mut lease = self.lease();
        lease.grow_when_free(events.len()).await;
        lease.hold(events)
    }

    /// Returns how much is used.
    pub fn usage(&self) -> MemoryUse {
        self.lock().usage
    }

    /// Completes once more was asked for than there was, since the last call.
    pub async fn used_up(&self) {
        self.0.used_up.notified().await;
    }

    /// Registers a caller that the process waits for from now on. If it makes no progress, it may
    /// lose what is held for it.
    pub fn wait_for_caller(&self) -> CallerWait {
        self.wait_with(CancellationToken::new())
    }

    /// The same; the token is cancelled when the caller has to give way.
    pub fn wait_with(&self, displaced: CancellationToken) -> CallerWait {
        let mut state = self.lock();
        let id = state.next_wait;
        state.next_wait += 1;
        let wait = Wait { moved_at: Instant::now(), displaced: displaced.clone() };
        state.waits.insert(id, wait);
        CallerWait::new(self.clone(), id, displaced)
    }

    /// Lends `more` bytes in addition to the `held` ones of a lease that is small up to `small` bytes,
    /// if there are as many.
    pub(super) fn lend(&self, held: usize, more: usize, small: usize) -> bool {
        let mut state = self.lock();
        let (before, after) =
            (large_part(held, small), large_part(held.saturating_add(more), small));
        let max = self.0.max_bytes;
        let limit = if after == 0 { max } else { max - max / RESERVE_DIVISOR };
        let is_only_large = after > 0 && state.large == before;
        if state.usage.held.saturating_add(more) > limit && !is_only_large {
            return false;
        }
        state.usage.held = state.usage.held.saturating_add(more);
        state.large = (state.large - before).saturating_add(after);
        true
    }

    /// Takes back `less` of the `held` bytes of a lease that is small up to `small` bytes.
    pub(super) fn take_back(&self, held: usize, less: usize, small: usize) {
        let mut state = self.lock();
        state.usage.held -= less;
        state.large = state.large - large_part(held, small) + large_part(held - less, small);
        drop(state);
        self.0.released.notify_waiters();
    }

    /// Returns what completes once bytes are given back after this call.
    pub(super) fn released(&self) -> Notified<'_> {
        self.0.released.notified()
    }

    /// Makes the caller give way that has made no progress for the longest time, if any has made
    /// none for [`STALL_TIME`].
    pub(super) fn displace_stalled(&self) -> bool {
        let mut state = self.lock();
        let stalled = state.waits.iter().min_by_key(|(_, wait)| wait.moved_at);
        let stalled = stalled.filter(|(_, wait)| wait.moved_at.elapsed() >= STALL_TIME);
        let Some(id) = stalled.map(|(id, _)| *id) else { return false };
        if let Some(wait) = state.waits.remove(&id) {
            wait.displaced.cancel();
        }
        state.usage.displaced += 1;
        self.0.used_up.notify_one();
        true
    }

    pub(super) fn record_refusal(&self) {
        self.lock().usage.refused += 1;
        self.0.used_up.notify_one();
    }

    pub(super) fn record_progress(&self, wait: u64) {
        if let Some(wait) = self.lock().waits.get_mut(&wait) {
            wait.moved_at = Instant::now();
        }
    }

    pub(super) fn end_wait(&self, wait: u64) {
        self.lock().waits.remove(&wait);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the bytes of a lease that count as large: all or none.
const fn large_part(bytes: usize, small: usize) -> usize {
    if bytes > small { bytes } else { 0 }
}
