use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Crashes from which on a request is held back.
const CRASHES_TO_QUARANTINE: u32 = 3;
/// How long a request is held back at first, doubled with each further crash.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(20);
const MAX_QUARANTINE: Duration = Duration::from_secs(600);
/// Crashes of one moment count once: a failure domain that goes takes several upstreams with it, and
/// no request is to blame.
const SAME_INCIDENT_TIME: Duration = Duration::from_secs(1);
/// Requests remembered before the oldest are dropped.
const MAX_RECORDS: usize = 4_096;

/// Requests that were in flight at upstreams as these crashed, by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    records: Mutex<HashMap<u64, CrashRecord>>,
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    crashes: u32,
    last: Instant,
}

impl Crashes {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, CrashRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a crash of an upstream that ran the request, and gives the number of crashes, or
    /// nothing if it counts with one before.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Crashes;
    /// # use tokio::time::Instant;
    /// let crashes = Crashes::default();
    /// let at = |s| Instant::now() + Duration::from_secs(s);
    /// assert_eq!(crashes.record(7, at(0)), Some(1));
    /// assert_eq!(crashes.record(7, at(0)), None);
    /// assert_eq!(crashes.record(7, at(3)), Some(2));
    /// assert_eq!(crashes.quarantined_for(7, at(3)), None);
    /// assert_eq!(crashes.record(7, at(6)), Some(3));
    /// assert!(crashes.quarantined_for(7, at(7)).is_some());
    /// assert_eq!(crashes.quarantined_for(7, at(30)), None);
    /// ```
    pub fn record(&self, fingerprint: u64, now: Instant) -> Option<u32> {
        let mut records = self.lock();
        let known = records.get(&fingerprint).copied();
        if known.is_some_and(|known| now.saturating_duration_since(known.last) < SAME_INCIDENT_TIME)
        {
            return None;
        }
        let crashes = known.map_or(0, |known| known.crashes) + 1;
        insert(&mut records, fingerprint, CrashRecord { crashes, last: now });
        Some(crashes)
    }

    /// Takes in how many crashes all entries together know of.
    pub fn merge(&self, fingerprint: u64, crashes: u32, now: Instant) {
        let mut records = self.lock();
        if records.get(&fingerprint).is_none_or(|known| known.crashes < crashes) {
            insert(&mut records, fingerprint, CrashRecord { crashes, last: now });
        }
    }

    /// Takes in that the request has run to its end. Tells whether it was suspected.
    pub fn clear(&self, fingerprint: u64) -> bool {
        self.lock().remove(&fingerprint).is_some()
    }

    /// How long the request is still to be held back, if it is.
    pub fn quarantined_for(&self, fingerprint: u64, now: Instant) -> Option<Duration> {
        let known = self.lock().get(&fingerprint).copied()?;
        let doublings = known.crashes.checked_sub(CRASHES_TO_QUARANTINE)?;
        let quarantine =
            INITIAL_QUARANTINE.saturating_mul(1 << doublings.min(5)).min(MAX_QUARANTINE);
        quarantine
            .checked_sub(now.saturating_duration_since(known.last))
            .filter(|left| !left.is_zero())
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
