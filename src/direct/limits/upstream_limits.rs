use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::limited_upstream::{LimitedUpstream, Sharers};
use super::{LimitRow, NamedLimit, RowLimit};
use crate::direct::ListedUpstream;

/// Time for which another entry counts as one that shares the limits, after its last renewal.
const LEASE: Duration = Duration::from_secs(24);
/// Maximum age of the proof that this entry knows the others: its own row as read from the table.
const PROOF_AGE: Duration = Duration::from_secs(16);
/// Time for which what an upstream told this entry goes before what other entries say.
const HEARD_PRECEDENCE: Duration = Duration::from_secs(1);

/// What has changed about the limit of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Id of the upstream.
    pub upstream: String,
    /// The limit before, in requests per second.
    pub before: Option<f64>,
    /// The limit from now on.
    pub rate: Option<f64>,
}

/// The limits that upstreams name, and when this entry may send its part of the requests.
#[derive(Debug)]
pub struct UpstreamLimits {
    /// Name of this entry.
    entry: String,
    /// Maximum number of entries.
    max_entries: f64,
    state: Mutex<State>,
    /// Notified when the row of this entry is to be written.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    upstreams: HashMap<String, LimitedUpstream>,
    /// Rows of the other entries, and when each was last renewed.
    others: HashMap<String, (LimitRow, Instant)>,
    /// Number of the last renewal that this entry has written, and when that was read.
    renewal: u64,
    proven: Option<Instant>,
}

impl UpstreamLimits {
    /// Creates a record without limits for the entry with this name, one of `max_entries` at most.
    pub fn new(entry: &str, max_entries: f64) -> Self {
        let entry = entry.to_owned();
        Self { entry, max_entries, state: Mutex::default(), changed: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of this entry.
    pub(super) fn entry(&self) -> &str {
        &self.entry
    }

    /// Records what a response of an upstream says of its limit.
    ///
    /// ```
    /// # use ebonyusher::direct::{ListedUpstream, NamedLimit, UpstreamLimits};
    /// # use tokio::time::Instant;
    /// # let listed = ListedUpstream {
    /// #     id: "u-1".into(), service: "ledger".into(), addr: "127.0.0.1:80".parse().unwrap(),
    /// #     domain: "osu".into(), draining: false, started_at_ms: Some(1),
    /// # };
    /// let (limits, now) = (UpstreamLimits::new("entry-1", 1.0), Instant::now());
    /// assert!(limits.next_send(&listed, now) <= now);
    /// limits.hear(&listed, NamedLimit::Rate(2.0), now);
    /// assert!(limits.next_send(&listed, now) > now);
    /// limits.hear(&listed, NamedLimit::None, now);
    /// assert!(limits.next_send(&listed, now) <= now);
    /// ```
    pub fn hear(
        &self,
        listed: &ListedUpstream,
        named: NamedLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        let mut state = self.lock();
        let rate = match named {
            NamedLimit::None if state.upstreams.is_empty() => return None,
            NamedLimit::None => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Unreadable => return None,
        };
        let change = state.set(&listed.id, listed.started_at_ms, rate, now);
        if let Some(known) = state.upstreams.get_mut(&listed.id) {
            known.heard = Some(now);
        }
        if change.is_some() {
            self.changed.notify_one();
        }
        change
    }

    /// Returns when this entry may send an upstream the next request, which may be past.
    pub fn next_send(&self, listed: &ListedUpstream, now: Instant) -> Instant {
        let state = self.lock();
        let known = state.upstreams.get(&listed.id);
        let Some(known) = known.filter(|known| known.incarnation == listed.started_at_ms) else {
            return now;
        };
        let others = state.live_others(now);
        let is_proven =
            state.proven.is_some_and(|at| now.saturating_duration_since(at) < PROOF_AGE);
        let sharers = if is_proven {
            Sharers::Known(&self.entry, &others)
        } else {
            Sharers::AtMost(self.max_entries)
        };
        known.next(&listed.id, sharers)
    }

    /// Records that a request is sent to an upstream.
    pub fn record_send(&self, listed: &ListedUpstream, now: Instant) {
        if let Some(known) = self.lock().upstreams.get_mut(&listed.id) {
            known.last = now;
        }
    }

    /// Returns the number of upstreams that name a limit.
    pub fn len(&self) -> usize {
        self.lock().upstreams.len()
    }

    /// Returns whether no upstream names a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the limits of upstreams that are not listed any more.
    pub(super) fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock().upstreams.retain(|id, _| is_listed(id));
    }

    /// Applies the row of an entry. What has changed since its last one is news, unless an upstream
    /// has just told this entry itself.
    ///
    /// ```
    /// # use ebonyusher::direct::{LimitRow, RowLimit, UpstreamLimits};
    /// # use tokio::time::Instant;
    /// let (limits, now) = (UpstreamLimits::new("entry-1", 2.0), Instant::now());
    /// let limit = RowLimit { upstream: "u-1".into(), incarnation: Some(1), rate: 2.0 };
    /// let named = LimitRow { renewal: 1, limits: vec![limit] };
    /// let ended = LimitRow { renewal: 2, limits: Vec::new() };
    /// assert_eq!(limits.apply("entry-2", named, now).len(), 1);
    /// assert_eq!(limits.next_row().limits.len(), 1);
    /// limits.apply("entry-2", ended, now);
    /// assert!(limits.is_empty());
    /// ```
    pub fn apply(&self, entry: &str, row: LimitRow, now: Instant) -> Vec<LimitChange> {
        let mut state = self.lock();
        if entry == self.entry {
            if row.renewal == state.renewal {
                state.proven = Some(now);
            }
            return Vec::new();
        }
        let before = state.others.get(entry).map(|(row, _)| row.clone()).unwrap_or_default();
        let ended = before.limits.iter().filter(|limit| !row.limits_incarnation(limit));
        let ended = ended.map(|limit| (limit, None));
        let named = row.limits.iter().filter(|limit| !before.names(limit));
        let named = named.map(|limit| (limit, Some(limit.rate)));
        let news = named.chain(ended);
        let changes: Vec<_> =
            news.filter_map(|(limit, rate)| state.learn(limit, rate, now)).collect();
        let is_renewed = state.others.get(entry).is_none_or(|(known, _)| *known != row);
        if is_renewed {
            state.others.insert(entry.to_owned(), (row, now));
        }
        if !changes.is_empty() {
            self.changed.notify_one();
        }
        changes
    }

    /// Returns the row that tells the others what this entry knows, for the next renewal.
    pub fn next_row(&self) -> LimitRow {
        let mut state = self.lock();
        state.renewal += 1;
        let limit = |(id, known): (&String, &LimitedUpstream)| RowLimit {
            upstream: id.clone(),
            incarnation: known.incarnation,
            rate: known.rate,
        };
        LimitRow { renewal: state.renewal, limits: state.upstreams.iter().map(limit).collect() }
    }

    /// Waits until the row of this entry is to be written.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl State {
    /// Sets or ends the limit of an incarnation. Returns what has changed.
    fn set(
        &mut self,
        id: &str,
        incarnation: Option<u64>,
        rate: Option<f64>,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.upstreams.get(id);
        let known = known.filter(|known| known.incarnation == incarnation);
        let before = known.map(|known| known.rate);
        if before == rate {
            return None;
        }
        let (last, heard) = known.map_or((now, None), |known| (known.last, known.heard));
        match rate {
            Some(rate) => {
                let known = LimitedUpstream { incarnation, rate, heard, last };
                self.upstreams.insert(id.to_owned(), known);
            }
            None => {
                self.upstreams.remove(id);
            }
        }
        Some(LimitChange { upstream: id.to_owned(), before, rate })
    }

    /// Learns news from another entry. News of an earlier incarnation tell nothing.
    fn learn(&mut self, limit: &RowLimit, rate: Option<f64>, now: Instant) -> Option<LimitChange> {
        if let Some(known) = self.upstreams.get(&limit.upstream) {
            let is_heard =
                known.heard.is_some_and(|at| now.saturating_duration_since(at) < HEARD_PRECEDENCE);
            if known.incarnation > limit.incarnation
                || (known.incarnation == limit.incarnation && is_heard)
            {
                return None;
            }
        }
        self.set(&limit.upstream, limit.incarnation, rate, now)
    }

    fn live_others(&self, now: Instant) -> SmallVec<[&str; 16]> {
        let is_live = |at: &Instant| now.saturating_duration_since(*at) < LEASE;
        let live = self.others.iter().filter(|(_, (_, at))| is_live(at));
        live.map(|(entry, _)| entry.as_str()).collect()
    }
}
