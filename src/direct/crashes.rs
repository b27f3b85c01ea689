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
    /// assert_eq!(crashes.quarantined_for(7, at(3)), None);
    /// assert_eq!(crashes.record(7, at(6)), Some(3));
    /// assert!(crashes.quarantined_for(7, at(7)).is_some());
    /// assert_eq!(crashes.quarantined_for(7, at(30)), None);
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

    /// Applies the count of all entries together, if it is higher than the local one.
    pub fn merge(&self, fingerprint: u64, crashes: u32, now: Instant) {
        let mut records = self.lock();
        if records.get(&fingerprint).is_none_or(|known| known.crashes < crashes) {
            insert(&mut records, fingerprint, CrashRecord { crashes, last: now });
        }
    }

    /// Forgets a request that has completed. Returns whether it was on record.
    pub fn clear(&self, fingerprint: u64) -> bool {
        self.lock().remove(&fingerprint).is_some()
    }

    /// Returns the remaining quarantine time of a request, if it is quarantined.
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
