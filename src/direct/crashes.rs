use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::crash_record::CrashRecord;
use super::{CrashStatus, CrashedAttempt, SharedCrashCount};

/// Maximum number of requests on record; beyond it the oldest is dropped.
const MAX_RECORDS: usize = 4_096;

/// Requests that were in flight when upstreams crashed, by fingerprint, and which of them are to be
/// shared with the other entries.
#[derive(Debug)]
pub struct Crashes {
    /// Quarantine time of a request after the crash that makes it quarantined.
    first_quarantine: Duration,
    state: Mutex<State>,
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
pub(super) type RowContent = Option<SharedCrashCount>;

impl Crashes {
    /// Creates a record of no crashes. `first_quarantine` is how long a request is refused after
    /// the crash that makes it quarantined.
    pub fn new(first_quarantine: Duration) -> Self {
        Self { first_quarantine, state: Mutex::default(), unshared: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an upstream crashed while it ran this attempt at a request, in any order of the
    /// attempts. Returns the number of crashes, or `None` if the attempt was in flight together
    /// with one that is counted: the loss of a failure domain takes down several upstreams
    /// together, and no request is to blame.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{CrashStatus, CrashedAttempt, Crashes};
    /// # use tokio::time::Instant;
    /// let crashes = Crashes::new(Duration::from_secs(60));
    /// let now = Instant::now();
    /// let at = |s| now + Duration::from_secs(s);
    /// let attempt = |started, ended| CrashedAttempt { started: at(started), ended: at(ended) };
    /// assert_eq!(crashes.record(7, attempt(2, 3)), Some(1));
    /// assert_eq!(crashes.record(7, attempt(1, 4)), None);
    /// assert_eq!(crashes.record(7, attempt(0, 1)), Some(2));
    /// assert_eq!(crashes.status(7, at(3)), CrashStatus::Clear);
    /// assert_eq!(crashes.record(7, attempt(3, 4)), Some(3));
    /// assert!(matches!(crashes.status(7, at(5)), CrashStatus::Quarantined(_)));
    /// assert!(matches!(crashes.status(7, at(64)), CrashStatus::TrialDue(_)));
    /// ```
    pub fn record(&self, fingerprint: u64, attempt: CrashedAttempt) -> Option<u32> {
        let mut state = self.lock();
        let known = state.records.get_mut(&fingerprint);
        let crashes = match known.filter(|known| !known.is_expired(attempt.ended)) {
            Some(known) => known.count(attempt)?,
            None => {
                state.insert(fingerprint, CrashRecord::first(attempt));
                1
            }
        };
        self.share(&mut state, fingerprint);
        Some(crashes)
    }

    /// Applies the count of a row. Returns whether it says more than is known here. If it says less,
    /// the row is to be written again.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{Crashes, SharedCrashCount};
    /// # use tokio::time::Instant;
    /// let (crashes, now) = (Crashes::new(Duration::from_secs(60)), Instant::now());
    /// let shared = |crashes, trials| SharedCrashCount { crashes, trials, at: 100 };
    /// assert!(crashes.merge(7, shared(2, 0), now));
    /// assert!(crashes.merge(7, shared(2, 1), now));
    /// assert!(!crashes.merge(7, shared(1, 2), now));
    /// assert_eq!(crashes.count(7), 2);
    /// ```
    pub fn merge(&self, fingerprint: u64, shared: SharedCrashCount, now: Instant) -> bool {
        let mut state = self.lock();
        let known = state.records.get(&fingerprint).map(CrashRecord::order);
        if known.is_some_and(|known| shared.order() < known) {
            self.share(&mut state, fingerprint);
            return false;
        }
        state.unshared.remove(&fingerprint);
        let says_more = known != Some(shared.order());
        if says_more {
            state.insert(fingerprint, CrashRecord::learned(shared, now));
        }
        says_more
    }

    /// Applies that another entry has removed the row of a request because the request completed.
    /// Crashes that this entry has yet to share were noticed later.
    pub(super) fn merge_removal(&self, fingerprint: u64) {
        let mut state = self.lock();
        if !state.unshared.contains(&fingerprint) {
            state.records.remove(&fingerprint);
        }
    }

    /// Marks all requests as to be shared that the table, read as a whole, does not hold.
    pub(super) fn share_all_but(&self, listed: &HashSet<u64>) {
        let mut state = self.lock();
        let missing: Vec<u64> =
            state.records.keys().copied().filter(|key| !listed.contains(key)).collect();
        missing.into_iter().for_each(|fingerprint| self.share(&mut state, fingerprint));
    }

    /// Returns the number of crashes on record for a request.
    pub fn count(&self, fingerprint: u64) -> u32 {
        self.lock().records.get(&fingerprint).map_or(0, |known| known.crashes)
    }

    /// Forgets a request that has completed. Returns the number of crashes on record, if any.
    pub fn clear(&self, fingerprint: u64) -> Option<u32> {
        let mut state = self.lock();
        let known = state.records.remove(&fingerprint)?;
        self.share(&mut state, fingerprint);
        Some(known.crashes)
    }

    /// Returns how a request is treated.
    pub fn status(&self, fingerprint: u64, now: Instant) -> CrashStatus {
        let state = self.lock();
        let known = state.records.get(&fingerprint).filter(|known| !known.is_expired(now));
        known.map_or(CrashStatus::Clear, |known| known.status(self.first_quarantine, now))
    }

    /// Returns the count with one more trial, if one is due.
    pub(super) fn next_trial(&self, fingerprint: u64, now: Instant) -> Option<SharedCrashCount> {
        let is_due = matches!(self.status(fingerprint, now), CrashStatus::TrialDue(_));
        let state = self.lock();
        state.records.get(&fingerprint).filter(|_| is_due).map(CrashRecord::with_trial)
    }

    fn share(&self, state: &mut State, fingerprint: u64) {
        state.unshared.insert(fingerprint);
        self.unshared.notify_one();
    }

    /// Waits until requests are to be shared, and returns some of them with what their rows are to
    /// say.
    pub(super) async fn unshared(&self, max: usize) -> SmallVec<[(u64, RowContent); 8]> {
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
    pub(super) fn confirm_shared(&self, fingerprint: u64, written: RowContent) {
        let mut state = self.lock();
        let known = state.records.get(&fingerprint).map(CrashRecord::order);
        if known == written.map(SharedCrashCount::order) {
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
