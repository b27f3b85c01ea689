use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::memory::MemoryLease;

/// Whose turn it is on a connection: the caller's, which is waited for, or the process's.
#[derive(Debug)]
pub(super) struct ConnectionTurn {
    state: Mutex<State>,
    displaced: CancellationToken,
}

#[derive(Debug)]
struct State {
    /// Number of requests whose responses are not complete.
    in_flight: usize,
    /// Number of requests so far.
    begun: u64,
    /// When the last response was complete, or when the connection was accepted.
    idle_since: Instant,
    /// Since when the caller has not taken what is written.
    blocked_since: Option<Instant>,
    /// Whether it has become a session of another protocol, which is never waited for.
    is_session: bool,
}

impl ConnectionTurn {
    pub(super) fn new() -> Self {
        let state = State {
            in_flight: 0,
            begun: 0,
            idle_since: Instant::now(),
            blocked_since: None,
            is_session: false,
        };
        Self { state: Mutex::new(state), displaced: CancellationToken::new() }
    }

    /// Returns since when the caller is waited for, or `None` if it is not its turn.
    pub(super) fn waits_since(&self) -> Option<Instant> {
        let state = self.lock();
        match state.in_flight {
            0 if !state.is_session => Some(state.idle_since),
            _ => state.blocked_since,
        }
    }

    /// Returns whether the connection has carried a whole request.
    pub(super) fn has_served(&self) -> bool {
        self.lock().begun > 0
    }

    /// Returns the number of requests so far if none is in flight.
    pub(super) fn begun_if_idle(&self) -> Option<u64> {
        let state = self.lock();
        (state.in_flight == 0).then_some(state.begun)
    }

    /// Records whether the caller takes what is written.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        let mut state = self.lock();
        let since = state.blocked_since.filter(|_| is_blocked);
        state.blocked_since = is_blocked.then(|| since.unwrap_or_else(Instant::now));
    }

    /// Begins a request, for which the process holds this lease.
    pub(super) fn begin(self: &Arc<Self>, lease: MemoryLease) -> RequestGuard {
        let mut state = self.lock();
        state.in_flight += 1;
        state.begun += 1;
        drop(state);
        RequestGuard { turn: Arc::clone(self), lease }
    }

    /// Closes the connection for another one.
    pub(super) fn displace(&self) {
        self.displaced.cancel();
    }

    /// Completes when the connection is to be closed for another one.
    pub(super) async fn displaced(&self) {
        self.displaced.cancelled().await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is in flight on a connection, until dropped: until its body is read or discarded
/// and its response is complete.
#[derive(Debug)]
pub struct RequestGuard {
    turn: Arc<ConnectionTurn>,
    lease: MemoryLease,
}

impl RequestGuard {
    /// Records that the connection becomes a session of another protocol.
    pub(super) fn record_upgrade(&self) {
        self.turn.lock().is_session = true;
    }

    /// Returns what is held for the request beside its body.
    pub(super) const fn lease(&mut self) -> &mut MemoryLease {
        &mut self.lease
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.turn.lock();
        state.in_flight -= 1;
        state.idle_since = Instant::now();
    }
}
