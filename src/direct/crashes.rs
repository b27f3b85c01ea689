use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Number of crashes from which a request is quarantined.
const CRASHES_TO_QUARANTINE: u32 = 3;
/// First quarantine time of a request, doubled with each further crash.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(20);
/// Upper bound of the quarantine time.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);
/// Crashes within this time count once: the loss of a failure domain takes down several upstreams
/// together, and no request is to blame.
const SAME_INCIDENT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of requests on record; beyond it the oldest is dropped.
const MAX_RECORDS: usize = 4_096;

/// Requests that were in flight when upstreams crashed, by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    records: Mutex<HashMap<u64, CrashRecord>>,
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

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    crashes: u32,
    last: Instant,
}

impl Crashes {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, CrashRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an upstream crashed at this time while it ran the request. Returns the number
    /// of crashes, or `None` if this one belongs to the same incident as the previous one.
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
    /// assert_eq!(crashes.quarantine(7, at(3)), None);
    /// assert_eq!(crashes.record(7, at(6)), Some(3));
    /// assert!(crashes.quarantine(7, at(7)).is_some());
    /// assert_eq!(crashes.quarantine(7, at(30)), None);
    /// ```
    pub fn record(&self, fingerprint: u64, at: Instant) -> Option<u32> {
        let mut records = self.lock();
        let known = records.get(&fingerprint).copied();
        if known.is_some_and(|known| at.saturating_duration_since(known.last) < SAME_INCIDENT_TIME)
        {
            return None;
        }
        let crashes = known.map_or(0, |known| known.crashes) + 1;
        insert(&mut records, fingerprint, CrashRecord { crashes, last: at });
        Some(crashes)
    }

    /// Applies the count of all entries together, if it is higher than the local one. Returns
    /// whether it was.
    pub fn merge(&self, fingerprint: u64, crashes: u32, now: Instant) -> bool {
        let mut records = self.lock();
        let is_higher = records.get(&fingerprint).is_none_or(|known| known.crashes < crashes);
        if is_higher {
            insert(&mut records, fingerprint, CrashRecord { crashes, last: now });
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
        let known = self.lock().get(&fingerprint).copied()?;
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
