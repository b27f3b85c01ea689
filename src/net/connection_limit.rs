use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::connection_turn::ConnectionTurn;

/// Time for which a connection must have waited for its caller to be closed for another one.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Limits the connections of callers. Clones share it.
///
/// At the limit a connection that waits for its caller is closed for a new one: first those that
/// have not carried a whole request yet, then those that have waited the longest.
#[derive(Clone, Debug)]
pub struct ConnectionLimit(Arc<Shared>);

/// How many connections are open, and how often there were too many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of open connections.
    pub open: usize,
    /// Number of connections that were closed at once.
    pub refused: u64,
    /// Number of connections that were closed for others, since they waited for their callers.
    pub displaced: u64,
    /// Number of connections that were closed since a head did not end or an answer was not taken in
    /// time.
    pub late: u64,
    /// Number of heads, and of calls from other processes, that were too large.
    pub too_large: u64,
}

/// A connection that counts, until dropped.
#[derive(Debug)]
pub(super) struct ConnectionSlot {
    limit: ConnectionLimit,
    id: u64,
    turn: Arc<ConnectionTurn>,
}

#[derive(Debug)]
struct Shared {
    max: usize,
    state: Mutex<State>,
    used_up: Notify,
}

#[derive(Debug, Default)]
struct State {
    open: HashMap<u64, Arc<ConnectionTurn>>,
    next: u64,
    usage: ConnectionUse,
}

impl ConnectionLimit {
    /// Creates a limit.
    pub fn new(max: usize) -> Self {
        Self(Arc::new(Shared { max, state: Mutex::default(), used_up: Notify::new() }))
    }

    /// Returns how many connections there are.
    ///
    /// ```
    /// # use ebonyusher::net::ConnectionLimit;
    /// assert_eq!(ConnectionLimit::new(100).usage().open, 0);
    /// ```
    pub fn usage(&self) -> ConnectionUse {
        let state = self.lock();
        ConnectionUse { open: state.open.len(), ..state.usage }
    }

    /// Completes once there were more than allowed or one was closed for its caller, since the last
    /// call.
    pub async fn used_up(&self) {
        self.0.used_up.notified().await;
    }

    /// Counts a new connection. Returns `None` if there are too many and none can be closed for it.
    pub(super) fn admit(&self) -> Option<ConnectionSlot> {
        let mut state = self.lock();
        if state.open.len() >= self.0.max {
            self.0.used_up.notify_one();
            if !state.displace_stalled() {
                state.usage.refused += 1;
                return None;
            }
        }
        let (id, turn) = (state.next, Arc::new(ConnectionTurn::new()));
        state.next += 1;
        state.open.insert(id, Arc::clone(&turn));
        Some(ConnectionSlot { limit: self.clone(), id, turn })
    }

    /// Counts a head, or a call from another process, that was too large.
    pub fn record_too_large(&self) {
        self.lock().usage.too_large += 1;
        self.0.used_up.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Closes the connection that is least likely to be used, and returns whether there is one.
    fn displace_stalled(&mut self) -> bool {
        let now = Instant::now();
        let stalled = self.open.iter().filter_map(|(id, turn)| {
            let since = turn.waits_since()?;
            (now - since >= STALL_TIME).then_some((turn.has_served(), since, *id))
        });
        let Some((_, _, id)) = stalled.min() else { return false };
        if let Some(turn) = self.open.remove(&id) {
            turn.displace();
        }
        self.usage.displaced += 1;
        true
    }
}

impl ConnectionSlot {
    /// Counts the connection as closed since its caller took too long.
    pub(super) fn record_late(&self) {
        self.limit.lock().usage.late += 1;
        self.limit.0.used_up.notify_one();
    }

    /// Returns the limit that it counts for.
    pub(super) const fn limit(&self) -> &ConnectionLimit {
        &self.limit
    }

    /// Returns whose turn it is on the connection.
    pub(super) const fn turn(&self) -> &Arc<ConnectionTurn> {
        &self.turn
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limit.lock().open.remove(&self.id);
    }
}
