use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::cold_upstreams::ColdUpstreams;
use super::known_limits::KnownLimits;
use super::limited_upstream::LimitedUpstream;
use super::other_entries::OtherEntries;
use super::share::{Share, Sharers};
use super::{ColdChange, LimitChange, LimitRow, NamedLimit, RowLimit};
use crate::direct::{ColdStart, ListedUpstream};
use crate::units::unix_millis;

/// Time between two reads of the table for each entry that shares limits.
const READ_SPACING: Duration = Duration::from_millis(3);
/// The limits that upstreams name or have while they are cold, and when this entry may send its part
/// of the requests.
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
    upstreams: KnownLimits,
    cold: ColdUpstreams,
    others: OtherEntries,
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
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{ListedUpstream, NamedLimit, UpstreamLimits};
    /// # use tokio::time::Instant;
    /// # let listed = ListedUpstream {
    /// #     id: "u-1".into(), service: "ledger".into(), addr: "127.0.0.1:80".parse().unwrap(),
    /// #     domain: "osu".into(), draining: false, started_at_ms: Some(1), cold: Duration::ZERO,
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
            NamedLimit::None if !state.upstreams.contains(&listed.id) => return None,
            NamedLimit::None => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Unreadable => return None,
        };
        // What this entry hears is later than all that it knows, whatever the clocks of others say.
        let known = state.upstreams.get(&listed.id).map_or(0, |known| known.heard);
        let heard = unix_millis(Duration::ZERO).max(known.saturating_add(1));
        let incarnation = listed.started_at_ms;
        let said = LimitedUpstream { incarnation, rate, heard, last: now };
        let change = state.upstreams.learn(&listed.id, said);
        if change.is_some() {
            self.changed.notify_one();
        }
        change
    }

    /// Returns when this entry may send an upstream the next request, which may be past.
    pub fn next_send(&self, listed: &ListedUpstream, now: Instant) -> Instant {
        let mut state = self.lock();
        let limited = self.next_limited(&state, listed, now);
        let cold = self.next_cold(&mut state, listed, now);
        limited.max(cold).unwrap_or(now)
    }

    fn next_limited(
        &self,
        state: &State,
        listed: &ListedUpstream,
        now: Instant,
    ) -> Option<Instant> {
        let known = state.upstreams.get(&listed.id);
        let known = known.filter(|known| known.incarnation == listed.started_at_ms)?;
        let others = state.others.live(now);
        known.next(&listed.id, self.sharers(state.others.is_proven(now), &others))
    }

    fn next_cold(
        &self,
        state: &mut State,
        listed: &ListedUpstream,
        now: Instant,
    ) -> Option<Instant> {
        if !state.cold.contains(listed, now) {
            return None;
        }
        let State { cold, others, .. } = state;
        let share = |rate, most_sharers| {
            let live = others.live(now);
            let sharers = self.sharers(others.is_proven(now), &live);
            Share::new(rate, most_sharers, &listed.id, sharers)
        };
        cold.next(&listed.id, share, now)
    }

    fn sharers<'a>(&'a self, is_proven: bool, others: &'a [&'a str]) -> Sharers<'a> {
        if is_proven {
            Sharers::Known(&self.entry, others)
        } else {
            Sharers::AtMost(&self.entry, self.max_entries)
        }
    }

    /// Replaces the settings of services whose upstreams can be cold, by service. Returns the
    /// upstreams that are cold by these settings and were not by the former ones.
    pub fn set_cold_starts(
        &self,
        starts: HashMap<String, ColdStart>,
        now: Instant,
    ) -> Vec<ColdChange> {
        let changes = self.lock().cold.set_starts(starts, now);
        if !changes.is_empty() {
            self.changed.notify_one();
        }
        changes
    }

    /// Applies what a listing says of how long an upstream is cold. One that is new is cold as well
    /// if this entry has sent requests of its service. Returns how the upstream has become cold, if
    /// it was not.
    ///
    /// ```
    /// # use std::collections::HashMap;
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{ColdStart, ListedUpstream, UpstreamLimits};
    /// # use tokio::time::Instant;
    /// # let listed = ListedUpstream {
    /// #     id: "u-1".into(), service: "ledger".into(), addr: "127.0.0.1:80".parse().unwrap(),
    /// #     domain: "osu".into(), draining: false, started_at_ms: Some(1), cold: Duration::ZERO,
    /// # };
    /// let (limits, now) = (UpstreamLimits::new("entry-1", 1.0), Instant::now());
    /// let start = ColdStart { duration: Duration::from_secs(9), per_second: 2.0 };
    /// limits.set_cold_starts(HashMap::from([("ledger".to_owned(), start)]), now);
    /// let cold = ListedUpstream { cold: Duration::from_secs(3), ..listed };
    /// assert!(limits.list(&cold, now).is_some());
    /// assert!(limits.next_send(&cold, now) > now);
    /// assert!(limits.next_send(&cold, now) <= now + cold.cold);
    /// ```
    pub fn list(&self, listed: &ListedUpstream, now: Instant) -> Option<ColdChange> {
        let mut state = self.lock();
        let was_idle = state.cold.len(now) == 0;
        let change = state.cold.list(listed, now);
        // Only entries that renew their rows count among those that share the rate.
        if was_idle && state.cold.len(now) > 0 {
            self.changed.notify_one();
        }
        change
    }

    /// Returns the number of upstreams that are cold.
    pub fn cold_len(&self, now: Instant) -> usize {
        self.lock().cold.len(now)
    }

    /// Returns whether no upstream names a limit or is cold.
    pub(in crate::direct) fn is_idle(&self, now: Instant) -> bool {
        let mut state = self.lock();
        state.cold.expire(now);
        !state.upstreams.has_limits() && state.cold.len(now) == 0
    }

    /// Records that a request is sent to an upstream.
    pub fn record_send(&self, listed: &ListedUpstream, now: Instant) {
        let mut state = self.lock();
        if let Some(known) = state.upstreams.get_mut(&listed.id) {
            known.last = now;
        }
        state.cold.record_send(listed, now);
    }

    /// Returns the number of upstreams that name a limit.
    pub fn len(&self) -> usize {
        self.lock().upstreams.len()
    }

    /// Returns whether no upstream names a limit.
    pub fn is_empty(&self) -> bool {
        !self.lock().upstreams.has_limits()
    }

    /// Returns the time between two renewals of this entry's row.
    pub(super) fn renewal_interval(&self, now: Instant) -> Duration {
        self.lock().others.renewal_interval(now)
    }

    /// Returns the time between two reads of the table, which bounds the reads of all entries
    /// together while they write about limits.
    pub(in crate::direct) fn read_interval(&self, now: Instant) -> Duration {
        let state = self.lock();
        READ_SPACING * u32::try_from(state.others.live(now).len()).unwrap_or(u32::MAX)
    }

    /// Drops what is known of upstreams that are not listed any more, and old ends of limits.
    pub(super) fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock().upstreams.retain(is_listed);
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
            state.others.record_own(row.renewal, now);
            return Vec::new();
        }
        let said = |limit: &RowLimit| LimitedUpstream {
            incarnation: limit.incarnation,
            rate: limit.rate,
            heard: limit.heard,
            last: now,
        };
        let limits = row.limits.iter();
        let had_limits = state.upstreams.has_limits();
        let changes = limits
            .filter_map(|limit| state.upstreams.learn(&limit.upstream, said(limit)))
            .collect();
        state.others.record(entry, row.renewal, now);
        // Only entries that renew their rows count among those that share a limit.
        if !had_limits && state.upstreams.has_limits() {
            self.changed.notify_one();
        }
        changes
    }

    /// Returns the row that tells the others what this entry knows, for the next renewal.
    pub fn next_row(&self) -> LimitRow {
        let mut state = self.lock();
        let renewal = state.others.begin_renewal();
        let limit = |(id, known): (&String, &LimitedUpstream)| RowLimit {
            upstream: id.clone(),
            incarnation: known.incarnation,
            rate: known.rate,
            heard: known.heard,
        };
        LimitRow { renewal, limits: state.upstreams.iter().map(limit).collect() }
    }

    /// Waits until the row of this entry is to be written.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }
}
