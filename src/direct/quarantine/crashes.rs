use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::completions::Completions;
use super::crash_record::{CrashRecord, MAX_CRASHES};
use super::{Crash, CrashStatus, SharedCrashes};
use crate::units::{millis, unix_millis};

/// Time after a completion of a request in which it is not blamed for crashes: one that crashes
/// upstreams does not complete.
const COMPLETION_GRACE: Duration = Duration::from_secs(3);
/// Maximum number of requests on record; beyond it the oldest is dropped.
const MAX_RECORDS: usize = 4_096;

/// Requests that were in flight when upstreams crashed, by fingerprint, and which of them are to be
/// shared with the other entries.
#[derive(Debug)]
pub struct Crashes {
    /// Quarantine time of a request after the crash that makes it quarantined.
    first_quarantine: Duration,
    state: Mutex<State>,
    completions: Completions,
    /// Notified when a request is to be shared.
    unshared: Notify,
}

#[derive(Debug, Default)]
struct State {
    records: HashMap<u64, CrashRecord>,
    /// Requests whose row in the table may say less than the record. Without a record, the row is
    /// to be removed.
    unshared: HashSet<u64>,
}

/// What a row of the table is to say of a request, `None` if it is to be removed.
pub(in crate::direct) type RowContent = Option<SharedCrashes>;

impl Crashes {
    /// Creates a record of no crashes. `first_quarantine` is how long a request is refused after
    /// the crash that makes it quarantined.
    pub fn new(first_quarantine: Duration) -> Self {
        let (state, completions) = (Mutex::default(), Completions::default());
        Self { first_quarantine, state, completions, unshared: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an upstream crashed while it ran a request, as noticed at `ended`. Returns the
    /// number of crashes, or `None` if this one does not raise it: the loss of a failure domain may
    /// explain it as well, another entry has noticed it, or the request completed shortly before.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{Crash, CrashStatus, Crashes};
    /// # use tokio::time::Instant;
    /// let crashes = Crashes::new(Duration::from_secs(60));
    /// let now = Instant::now();
    /// let at = |s| now + Duration::from_secs(s);
    /// let crash = |upstream: &str, started, ended| Crash {
    ///     upstream: upstream.into(), incarnation: None, started, ended, isolated: false,
    /// };
    /// assert_eq!(crashes.record(7, crash("u-1", 2, 3), at(3)), Some(1));
    /// assert_eq!(crashes.record(7, crash("u-2", 1, 4), at(4)), None);
    /// assert_eq!(crashes.record(7, crash("u-3", 0, 1), at(1)), Some(2));
    /// assert_eq!(crashes.status(7, 3, at(3)), CrashStatus::Clear);
    /// assert_eq!(crashes.record(7, crash("u-4", 4, 5), at(5)), Some(3));
    /// assert!(matches!(crashes.status(7, 3, at(6)), CrashStatus::Quarantined(_)));
    /// assert!(matches!(crashes.status(7, 3, at(65)), CrashStatus::TrialDue(_)));
    /// ```
    pub fn record(&self, fingerprint: u64, crash: Crash, ended: Instant) -> Option<u32> {
        if self.blameless_until(fingerprint).is_some_and(|time| crash.ended <= time) {
            return None;
        }
        let mut state = self.lock();
        let known = state.records.get_mut(&fingerprint).filter(|known| !known.is_expired(ended));
        let Some(known) = known else {
            state.insert(fingerprint, CrashRecord::first(crash, ended));
            self.share(&mut state, fingerprint);
            return Some(1);
        };
        let before = known.count();
        let changed = known.add(crash, ended);
        let crashes = known.count();
        if changed {
            self.share(&mut state, fingerprint);
        }
        (crashes > before).then_some(crashes)
    }

    /// Applies the crashes of a row. Returns whether they are more than are known here. If the row
    /// lacks any that are known here, it is to be written again.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{Crashes, SharedCrashes};
    /// # use tokio::time::Instant;
    /// let (crashes, now) = (Crashes::new(Duration::from_secs(60)), Instant::now());
    /// let shared = |trials| SharedCrashes { trials, at: 100, ..SharedCrashes::default() };
    /// assert!(crashes.merge(7, &shared(1), now));
    /// assert!(crashes.merge(7, &shared(2), now));
    /// assert!(!crashes.merge(7, &shared(1), now));
    /// ```
    pub fn merge(&self, fingerprint: u64, shared: &SharedCrashes, now: Instant) -> bool {
        let mut shared = shared.clone();
        let blameless_until = self.blameless_until(fingerprint);
        let dropped = blameless_until.is_some_and(|time| shared.crashes.drop_until(time));
        let mut state = self.lock();
        if dropped {
            self.share(&mut state, fingerprint);
            if shared.crashes.is_empty() {
                return false;
            }
        }
        let known = state.records.get_mut(&fingerprint).filter(|known| !known.is_expired(now));
        let Some(known) = known else {
            if !dropped {
                state.unshared.remove(&fingerprint);
            }
            state.insert(fingerprint, CrashRecord::learned(&shared, now));
            return true;
        };
        let says_more = known.join(&shared, now);
        if known.is_said_by(&shared) && !dropped {
            state.unshared.remove(&fingerprint);
        } else {
            self.share(&mut state, fingerprint);
        }
        says_more
    }

    /// Applies that another entry has removed the row of a request because the request completed.
    /// Crashes that this entry has yet to share were noticed later.
    pub(in crate::direct) fn merge_removal(&self, fingerprint: u64) {
        let mut state = self.lock();
        if !state.unshared.contains(&fingerprint) {
            state.records.remove(&fingerprint);
        }
    }

    /// Marks all requests as to be shared that the table, read as a whole, does not hold.
    pub(in crate::direct) fn share_all_but(&self, listed: &HashSet<u64>) {
        let mut state = self.lock();
        let missing: Vec<u64> =
            state.records.keys().copied().filter(|key| !listed.contains(key)).collect();
        missing.into_iter().for_each(|fingerprint| self.share(&mut state, fingerprint));
    }

    /// Returns the number of crashes on record for a request.
    pub fn count(&self, fingerprint: u64) -> u32 {
        self.lock().records.get(&fingerprint).map_or(0, CrashRecord::count)
    }

    /// Forgets a request that has completed. Returns the number of crashes on record, if any.
    pub fn clear(&self, fingerprint: u64) -> Option<u32> {
        self.completions.record(fingerprint, unix_millis(Duration::ZERO));
        let mut state = self.lock();
        let known = state.records.remove(&fingerprint)?;
        self.share(&mut state, fingerprint);
        Some(known.count())
    }

    /// Returns the Unix time in milliseconds up to which crashes do not count against a request,
    /// if it is known to have completed.
    fn blameless_until(&self, fingerprint: u64) -> Option<u64> {
        let grace = millis(COMPLETION_GRACE);
        self.completions.last(fingerprint).map(|at| at.saturating_add(grace))
    }

    /// Returns how a request is treated whose service quarantines from `limit` crashes on.
    pub fn status(&self, fingerprint: u64, limit: u32, now: Instant) -> CrashStatus {
        let state = self.lock();
        let known = state.records.get(&fingerprint).filter(|known| !known.is_expired(now));
        known.map_or(CrashStatus::Clear, |known| known.status(limit, self.first_quarantine, now))
    }

    /// Returns the count with one more trial, if one is due.
    pub(in crate::direct) fn next_trial(
        &self,
        fingerprint: u64,
        now: Instant,
    ) -> Option<SharedCrashes> {
        let is_due = matches!(self.status(fingerprint, MAX_CRASHES, now), CrashStatus::TrialDue(_));
        let state = self.lock();
        state.records.get(&fingerprint).filter(|_| is_due).map(CrashRecord::with_trial)
    }

    fn share(&self, state: &mut State, fingerprint: u64) {
        state.unshared.insert(fingerprint);
        self.unshared.notify_one();
    }

    /// Waits until requests are to be shared, and returns some of them with what their rows are to
    /// say.
    pub(in crate::direct) async fn unshared(&self, max: usize) -> SmallVec<[(u64, RowContent); 8]> {
        loop {
            let rows = self.unshared_now(max);
            if !rows.is_empty() {
                return rows;
            }
            self.unshared.notified().await;
        }
    }

    fn unshared_now(&self, max: usize) -> SmallVec<[(u64, RowContent); 8]> {
        let state = self.lock();
        let content = |key: &u64| state.records.get(key).map(CrashRecord::shared);
        state.unshared.iter().take(max).map(|key| (*key, content(key))).collect()
    }

    /// Records that the row of a request says this, unless more has become known meanwhile.
    pub(in crate::direct) fn confirm_shared(&self, fingerprint: u64, written: &RowContent) {
        let mut state = self.lock();
        let known = state.records.get(&fingerprint);
        let is_current = match (known, written) {
            (Some(known), Some(written)) => known.is_said_by(written),
            (known, written) => known.is_none() && written.is_none(),
        };
        if is_current {
            state.unshared.remove(&fingerprint);
        }
    }
}

impl State {
    fn insert(&mut self, fingerprint: u64, record: CrashRecord) {
        if self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, known)| known.last);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.records.remove(&oldest);
                self.unshared.remove(&oldest);
            }
        }
        self.records.insert(fingerprint, record);
    }
}
