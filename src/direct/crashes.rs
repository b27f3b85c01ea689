use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// Number of crashes from which a request is quarantined.
pub(super) const CRASHES_TO_QUARANTINE: u32 = 3;
/// First quarantine time of a request, doubled with each further crash.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(20);
/// Upper bound of the quarantine time.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);
/// Number of counted attempts that are kept for a request.
const MAX_COUNTED: usize = 4;
/// Maximum number of requests on record; beyond it the oldest is dropped.
const MAX_RECORDS: usize = 4_096;

/// Requests that were in flight when upstreams crashed, by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    records: Mutex<HashMap<u64, CrashRecord>>,
}

/// An attempt that was in flight as its upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedAttempt {
    /// When it was sent.
    pub started: Instant,
    /// When this entry noticed its end.
    pub ended: Instant,
}

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Number of crashes at which the request was in flight.
    pub crashes: u32,
    /// Time since the last of them.
    pub age: Duration,
    /// Time until the request is no longer refused.
    pub left: Duration,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    crashes: u32,
    /// When this entry noticed the last crash or learned of it.
    last: Instant,
    /// The last attempts of this entry that count.
    counted: SmallVec<[CrashedAttempt; MAX_COUNTED]>,
    /// When this entry last learned of crashes from others.
    learned: Option<Instant>,
}

impl CrashedAttempt {
    fn overlaps(&self, other: &Self) -> bool {
        self.started < other.ended && other.started < self.ended
    }
}

impl CrashRecord {
    /// Counts an attempt, unless it was in flight together with one that is counted, also as far as
    /// others may have counted it.
    fn count(&mut self, attempt: CrashedAttempt) -> Option<u32> {
        let was_in_flight = self.counted.iter().any(|counted| counted.overlaps(&attempt));
        if was_in_flight || self.learned.is_some_and(|learned| attempt.started < learned) {
            return None;
        }
        if self.counted.len() == MAX_COUNTED {
            self.counted.remove(0);
        }
        self.counted.push(attempt);
        self.crashes += 1;
        self.last = self.last.max(attempt.ended);
        Some(self.crashes)
    }
}

impl Crashes {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, CrashRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an upstream crashed while it ran this attempt at a request, in any order of the
    /// attempts. Returns the number of crashes, or `None` if the attempt was in flight together
    /// with one that is counted: the loss of a failure domain takes down several upstreams
    /// together, and no request is to blame.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{CrashedAttempt, Crashes};
    /// # use tokio::time::Instant;
    /// let crashes = Crashes::default();
    /// let now = Instant::now();
    /// let at = |s| now + Duration::from_secs(s);
    /// let attempt = |started, ended| CrashedAttempt { started: at(started), ended: at(ended) };
    /// assert_eq!(crashes.record(7, attempt(2, 3)), Some(1));
    /// assert_eq!(crashes.record(7, attempt(1, 4)), None);
    /// assert_eq!(crashes.record(7, attempt(0, 1)), Some(2));
    /// assert_eq!(crashes.quarantine(7, at(3)), None);
    /// assert_eq!(crashes.record(7, attempt(3, 4)), Some(3));
    /// assert!(crashes.quarantine(7, at(5)).is_some());
    /// assert_eq!(crashes.quarantine(7, at(30)), None);
    /// ```
    pub fn record(&self, fingerprint: u64, attempt: CrashedAttempt) -> Option<u32> {
        let mut records = self.lock();
        if let Some(known) = records.get_mut(&fingerprint) {
            return known.count(attempt);
        }
        let counted = [attempt].into_iter().collect();
        let record = CrashRecord { crashes: 1, last: attempt.ended, counted, learned: None };
        insert(&mut records, fingerprint, record);
        Some(1)
    }

    /// Applies the count of all entries together, if it is higher than the local one. Returns
    /// whether it was.
    pub fn merge(&self, fingerprint: u64, crashes: u32, now: Instant) -> bool {
        let mut records = self.lock();
        let record =
            CrashRecord { crashes, last: now, counted: SmallVec::new(), learned: Some(now) };
        let Some(known) = records.get_mut(&fingerprint) else {
            insert(&mut records, fingerprint, record);
            return true;
        };
        let is_higher = known.crashes < crashes;
        if is_higher {
            *known = record;
        }
        is_higher
    }

    /// Returns the number of crashes on record for a request.
    pub fn count(&self, fingerprint: u64) -> u32 {
        self.lock().get(&fingerprint).map_or(0, |known| known.crashes)
    }

    /// Forgets a request that has completed. Returns the number of crashes on record, if any.
    pub fn clear(&self, fingerprint: u64) -> Option<u32> {
        self.lock().remove(&fingerprint).map(|known| known.crashes)
    }

    /// Returns the quarantine of a request, if it is quarantined.
    pub fn quarantine(&self, fingerprint: u64, now: Instant) -> Option<Quarantine> {
        let records = self.lock();
        let known = records.get(&fingerprint)?;
        let doublings = known.crashes.checked_sub(CRASHES_TO_QUARANTINE)?;
        let quarantine =
            INITIAL_QUARANTINE.saturating_mul(1 << doublings.min(5)).min(MAX_QUARANTINE);
        let age = now.saturating_duration_since(known.last);
        let left = quarantine.checked_sub(age).filter(|left| !left.is_zero())?;
        Some(Quarantine { crashes: known.crashes, age, left })
    }
}

fn insert(records: &mut HashMap<u64, CrashRecord>, fingerprint: u64, record: CrashRecord) {
    if records.len() >= MAX_RECORDS {
        let oldest =
            records.iter().min_by_key(|(_, known)| known.last).map(|(fingerprint, _)| *fingerprint);
        oldest.map(|fingerprint| records.remove(&fingerprint));
    }
    records.insert(fingerprint, record);
}
