use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::limited_upstream::{LimitedUpstream, Sharers};
use super::{LimitRow, NamedLimit, RowLimit};
use crate::direct::ListedUpstream;
use crate::units::unix_millis;

/// Time between two renewals of an entry's row, at least.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_secs(8);
/// Time between the renewals of any two entries: each is read by all.
const RENEWAL_SPACING: Duration = Duration::from_secs(1);
/// Number of renewals after which an entry without one no longer counts.
const LEASE_RENEWALS: u32 = 3;
/// Number of renewals for which this entry's own row, as read from the table, proves that it knows
/// the others.
const PROOF_RENEWALS: u32 = 2;
/// Time between two reads of the table for each entry that shares limits.
const READ_SPACING: Duration = Duration::from_millis(3);
/// Time in milliseconds for which the end of a limit is told to the other entries.
const ENDED_RETENTION_MS: u64 = 60_000;

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
    /// Last renewal of each other entry, and when it was read.
    others: HashMap<String, (u64, Instant)>,
    /// Number of the last renewal that this entry has begun to write.
    renewal: u64,
    /// When this entry last read that renewal in the table.
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
            NamedLimit::None if !state.upstreams.contains_key(&listed.id) => return None,
            NamedLimit::None => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Unreadable => return None,
        };
        // What this entry hears is later than all that it knows, whatever the clocks of others say.
        let known = state.upstreams.get(&listed.id).map_or(0, |known| known.heard);
        let heard = unix_millis(Duration::ZERO).max(known.saturating_add(1));
        let incarnation = listed.started_at_ms;
        let said = LimitedUpstream { incarnation, rate, heard, last: now };
        let change = state.learn(&listed.id, said);
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
        let proof_age = state.renewal_interval(now) * PROOF_RENEWALS;
        let is_proven =
            state.proven.is_some_and(|at| now.saturating_duration_since(at) < proof_age);
        let sharers = if is_proven {
            Sharers::Known(&self.entry, &others)
        } else {
            Sharers::AtMost(self.max_entries)
        };
        known.next(&listed.id, sharers).unwrap_or(now)
    }

    /// Records that a request is sent to an upstream.
    pub fn record_send(&self, listed: &ListedUpstream, now: Instant) {
        if let Some(known) = self.lock().upstreams.get_mut(&listed.id) {
            known.last = now;
        }
    }

    /// Returns the number of upstreams that name a limit.
    pub fn len(&self) -> usize {
        self.lock().upstreams.values().filter(|known| known.rate.is_some()).count()
    }

    /// Returns whether no upstream names a limit.
    pub fn is_empty(&self) -> bool {
        !self.lock().has_limits()
    }

    /// Returns the time between two renewals of this entry's row.
    pub(super) fn renewal_interval(&self, now: Instant) -> Duration {
        self.lock().renewal_interval(now)
    }

    /// Returns the time between two reads of the table, which bounds the reads of all entries
    /// together while they write about limits.
    pub(in crate::direct) fn read_interval(&self, now: Instant) -> Duration {
        let state = self.lock();
        READ_SPACING * u32::try_from(state.live_others(now).len()).unwrap_or(u32::MAX)
    }

    /// Drops what is known of upstreams that are not listed any more, and old ends of limits.
    pub(super) fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        let now = unix_millis(Duration::ZERO);
        let is_recent =
            |known: &LimitedUpstream| known.heard.saturating_add(ENDED_RETENTION_MS) > now;
        let mut state = self.lock();
        state
            .upstreams
            .retain(|id, known| is_listed(id) && (known.rate.is_some() || is_recent(known)));
    }

    /// Applies the row of an entry: what it heard later than is known here.
    ///
    /// ```
    /// # use ebonyusher::direct::{LimitRow, RowLimit, UpstreamLimits};
    /// # use tokio::time::Instant;
    /// let (limits, now) = (UpstreamLimits::new("entry-1", 2.0), Instant::now());
    /// let row = |renewal, rate| LimitRow {
    ///     renewal,
    ///     limits: vec![RowLimit { upstream: "u-1".into(), incarnation: Some(1), rate, heard: renewal }],
    /// };
    /// assert_eq!(limits.apply("entry-2", &row(1, Some(2.0)), now).len(), 1);
    /// assert_eq!(limits.len(), 1);
    /// limits.apply("entry-2", &row(2, None), now);
    /// assert!(limits.is_empty());
    /// ```
    pub fn apply(&self, entry: &str, row: &LimitRow, now: Instant) -> Vec<LimitChange> {
        let mut state = self.lock();
        if entry == self.entry {
            if row.renewal == state.renewal {
                state.proven = Some(now);
            }
            return Vec::new();
        }
        let said = |limit: &RowLimit| LimitedUpstream {
            incarnation: limit.incarnation,
            rate: limit.rate,
            heard: limit.heard,
            last: now,
        };
        let limits = row.limits.iter();
        let had_limits = state.has_limits();
        let changes =
            limits.filter_map(|limit| state.learn(&limit.upstream, said(limit))).collect();
        let known = state.others.get(entry);
        if known.is_none_or(|(renewal, _)| *renewal != row.renewal) {
            state.others.insert(entry.to_owned(), (row.renewal, now));
        }
        // Only entries that renew their rows count among those that share a limit.
        if !had_limits && state.has_limits() {
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
            heard: known.heard,
        };
        LimitRow { renewal: state.renewal, limits: state.upstreams.iter().map(limit).collect() }
    }

    /// Waits until the row of this entry is to be written.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl State {
    fn has_limits(&self) -> bool {
        self.upstreams.values().any(|known| known.rate.is_some())
    }

    /// Learns what an upstream said, if that is later than what is known. Returns what has changed.
    fn learn(&mut self, id: &str, said: LimitedUpstream) -> Option<LimitChange> {
        let known = self.upstreams.get_mut(id);
        if known.as_ref().is_some_and(|known| known.order() >= said.order()) {
            return None;
        }
        let same = known.filter(|known| known.incarnation == said.incarnation);
        let (before, rate) = (same.as_ref().and_then(|known| known.rate), said.rate);
        match same {
            // Its time of the last request stays, unless the limit is new.
            Some(known) if before.is_some() => {
                *known = LimitedUpstream { last: known.last, ..said };
            }
            _ => {
                self.upstreams.insert(id.to_owned(), said);
            }
        }
        (before != rate).then(|| LimitChange { upstream: id.to_owned(), before, rate })
    }

    fn live_others(&self, now: Instant) -> SmallVec<[&str; 16]> {
        let number = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        let lease = renewal_interval(number) * LEASE_RENEWALS;
        let is_live = |at: &Instant| now.saturating_duration_since(*at) < lease;
        let live = self.others.iter().filter(|(_, (_, at))| is_live(at));
        live.map(|(entry, _)| entry.as_str()).collect()
    }

    fn renewal_interval(&self, now: Instant) -> Duration {
        renewal_interval(u32::try_from(self.live_others(now).len()).unwrap_or(u32::MAX))
    }
}

/// Returns the time between two renewals of an entry among this number of others.
fn renewal_interval(others: u32) -> Duration {
    MIN_RENEWAL_INTERVAL.max(RENEWAL_SPACING * others.saturating_add(1))
}
