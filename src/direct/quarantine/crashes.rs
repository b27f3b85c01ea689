use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::completions::Completions;
use super::crash_record::{CrashRecord, MAX_CRASHES};
use super::{Crash, CrashStatus, SharedCrashes};
use crate::direct::ListedUpstream;
use crate::entry::CrashKeys;
use crate::units::{millis, unix_millis};

/// Time after a completion of a request in which it is not blamed for crashes: one that crashes
/// upstreams does not complete.
const COMPLETION_GRACE: Duration = Duration::from_secs(3);
/// Maximum number of requests and parts on record; beyond it the oldest is dropped.
const MAX_RECORDS: usize = 4_096;
/// Number of crashes from which a part of prompts is quarantined with which requests have completed
/// before, more than of a new one.
const PROVEN_PART_CRASHES: u32 = MAX_CRASHES + 1;
/// Time for which a completion shows that a part of prompts has been sound.
const PROOF_TIME: Duration = Duration::from_secs(600);

/// Requests that were in flight when upstreams crashed, and the shared parts of their prompts, by
/// fingerprint, and which of them are to be shared with the other entries.
#[derive(Debug)]
pub struct Crashes {
    /// Quarantine time of a request after the crash that makes it quarantined.
    first_quarantine: Duration,
    state: Mutex<State>,
    completions: Completions,
    /// Those of the shared parts of prompts.
    part_completions: Completions,
    /// Notified when a request is to be shared.
    pub(super) unshared: Notify,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) records: HashMap<u64, CrashRecord>,
    /// Requests whose row in the table may say less than the record. Without a record, the row is
    /// to be removed.
    pub(super) unshared: HashSet<u64>,
}

impl Crashes {
    /// Creates a record of no crashes. `first_quarantine` is how long a request is refused after
    /// the crash that makes it quarantined.
    pub fn new(first_quarantine: Duration) -> Self {
        Self {
            first_quarantine,
            state: Mutex::default(),
            completions: Completions::default(),
            part_completions: Completions::default(),
            unshared: Notify::new(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
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

    /// Returns the number of crashes on record for a request.
    pub fn count(&self, fingerprint: u64) -> u32 {
        self.lock().records.get(&fingerprint).map_or(0, CrashRecord::count)
    }

    /// Forgets a request that has completed, and the shared parts of its prompt. Returns the
    /// greatest number of crashes on record, if any.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::{direct::Crashes, entry::CrashKeys};
    /// let crashes = Crashes::new(Duration::from_secs(60));
    /// assert_eq!(crashes.clear(&CrashKeys::default()), None);
    /// ```
    pub fn clear(&self, keys: &CrashKeys) -> Option<u32> {
        let now = unix_millis(Duration::ZERO);
        self.completions.record(keys.request, now);
        keys.parts.iter().for_each(|part| self.part_completions.record(*part, now));
        let mut state = self.lock();
        keys.iter().filter_map(|key| self.forget(&mut state, key)).max()
    }

    fn forget(&self, state: &mut State, fingerprint: u64) -> Option<u32> {
        let known = state.records.remove(&fingerprint)?;
        self.share(state, fingerprint);
        Some(known.count())
    }

    /// Records that an upstream went on with its answer to a request and lived, for those shared
    /// parts of its prompt that were in flight at crashes.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::{direct::{Crashes, ListedUpstream}, entry::CrashKeys};
    /// # let upstream = ListedUpstream {
    /// #     id: "u-1".into(), service: "drafts".into(), addr: "127.0.0.1:80".parse().unwrap(),
    /// #     domain: "osu".into(), draining: false, started_at_ms: None, cold: Duration::ZERO,
    /// # };
    /// let crashes = Crashes::new(Duration::from_secs(60));
    /// crashes.record_survival(&CrashKeys { request: 7, parts: [1].into_iter().collect() }, &upstream);
    /// assert_eq!(crashes.count(1), 0);
    /// ```
    pub fn record_survival(&self, keys: &CrashKeys, listed: &ListedUpstream) {
        let mut state = self.lock();
        for part in &keys.parts {
            let known = state.records.get_mut(part);
            if known.is_some_and(|known| known.add_survival(listed)) {
                self.share(&mut state, *part);
            }
        }
    }

    /// Returns the Unix time in milliseconds up to which crashes do not count against a request,
    /// if it is known to have completed.
    fn blameless_until(&self, fingerprint: u64) -> Option<u64> {
        let grace = millis(COMPLETION_GRACE);
        let last = self.completions.last(fingerprint);
        let last = last.max(self.part_completions.last(fingerprint));
        last.map(|at| at.saturating_add(grace))
    }

    /// Returns how the request or the part with a fingerprint is treated at a service that
    /// quarantines from `limit` crashes on.
    pub fn status(&self, fingerprint: u64, limit: u32, now: Instant) -> CrashStatus {
        self.status_in(&self.lock(), fingerprint, limit, now)
    }

    fn status_in(&self, state: &State, key: u64, limit: u32, now: Instant) -> CrashStatus {
        let known = state.records.get(&key).filter(|known| !known.is_expired(now));
        known.map_or(CrashStatus::Clear, |known| known.status(limit, self.first_quarantine, now))
    }

    /// Returns how a request is treated because of its own crashes and those of the parts of its
    /// prompt, and the fingerprint that decides.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::{direct::{CrashStatus, Crashes}, entry::CrashKeys};
    /// # use tokio::time::Instant;
    /// let crashes = Crashes::new(Duration::from_secs(60));
    /// let keys = CrashKeys { request: 7, ..CrashKeys::default() };
    /// assert_eq!(crashes.judge(&keys, 3, Instant::now()), (7, CrashStatus::Clear));
    /// ```
    pub fn judge(&self, keys: &CrashKeys, limit: u32, now: Instant) -> (u64, CrashStatus) {
        let state = self.lock();
        let request = (keys.request, self.status_in(&state, keys.request, limit, now));
        let parts = keys.parts.iter();
        let parts = parts.map(|part| (*part, self.part_status(&state, keys, *part, limit, now)));
        parts.fold(
            request,
            |worst, next| {
                if next.1.severity() > worst.1.severity() { next } else { worst }
            },
        )
    }

    fn part_status(
        &self,
        state: &State,
        keys: &CrashKeys,
        part: u64,
        limit: u32,
        now: Instant,
    ) -> CrashStatus {
        let limit = if self.is_proven(part) { PROVEN_PART_CRASHES } else { limit };
        if self.is_explained_by_another(state, keys, part, limit) {
            return CrashStatus::Clear;
        }
        self.status_in(state, part, limit, now)
    }

    /// Returns whether something that a request does not have was in flight at all crashes of one
    /// of its parts, so that the part may be innocent. The request then tells the two apart: if it
    /// is the part that crashes upstreams, it has crashed one more.
    fn is_explained_by_another(
        &self,
        state: &State,
        keys: &CrashKeys,
        part: u64,
        limit: u32,
    ) -> bool {
        let Some(known) = state.records.get(&part).filter(|known| known.count() == limit) else {
            return false;
        };
        state.records.iter().any(|(key, other)| {
            keys.iter().all(|own| own != *key) && other.explains(known) && !self.is_proven(*key)
        })
    }

    /// Returns whether a request with this part of a prompt has completed at this entry.
    fn is_proven(&self, part: u64) -> bool {
        let now = unix_millis(Duration::ZERO);
        self.part_completions.last(part).is_some_and(|at| at + millis(PROOF_TIME) > now)
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

    /// Marks a request as to be shared.
    pub(super) fn share(&self, state: &mut State, fingerprint: u64) {
        state.unshared.insert(fingerprint);
        self.unshared.notify_one();
    }
}

impl State {
    /// Adds a record. If there are too many, the oldest one is dropped, and its row with it, so that
    /// the table holds no more of them than an entry.
    fn insert(&mut self, fingerprint: u64, record: CrashRecord) {
        if self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, known)| known.last);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.records.remove(&oldest);
                self.unshared.insert(oldest);
            }
        }
        self.records.insert(fingerprint, record);
    }
}
