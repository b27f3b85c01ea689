use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// How long a crash counts against what was in flight.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Number of fingerprints above which those with only expired crashes are dropped.
const MAX_FINGERPRINTS: usize = 16_384;

/// The crashes that fingerprints were in flight at.
#[derive(Debug, Default)]
pub(super) struct CrashLedger(Mutex<HashMap<u64, SmallVec<[RecordedCrash; 2]>>>);

/// The crashes that count against one fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CrashCount {
    /// Number of crashes without a completion since.
    pub(super) crashes: usize,
    /// When the first of them no longer counts.
    pub(super) until: Option<Instant>,
    /// Whether there was a completion after another crash.
    pub(super) has_completed: bool,
}

/// A crash that a request was in flight at.
#[derive(Clone, Copy, Debug)]
struct RecordedCrash {
    /// Id of the crash, the same in every report of it.
    id: u64,
    at: Instant,
    /// Whether the request has since run to completion. The crash is kept, since the row that
    /// entries share names it for some time.
    cleared: bool,
}

impl CrashLedger {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, SmallVec<[RecordedCrash; 2]>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a crash with this id. Several reports of the same crash count once.
    pub(super) fn record(&self, id: u64, fingerprints: &[u64]) {
        let now = Instant::now();
        let mut crashes = self.lock();
        if crashes.len() > MAX_FINGERPRINTS {
            crashes.retain(|_, seen| seen.iter().any(|crash| crash.is_fresh(now)));
        }
        for fingerprint in fingerprints {
            let seen = crashes.entry(*fingerprint).or_default();
            if seen.iter().all(|crash| crash.id != id) {
                seen.push(RecordedCrash { id, at: now, cleared: false });
            }
        }
    }

    /// Records a completion: the crashes before it no longer count.
    pub(super) fn clear(&self, fingerprint: u64) {
        if let Some(seen) = self.lock().get_mut(&fingerprint) {
            seen.iter_mut().for_each(|crash| crash.cleared = true);
        }
    }

    /// Returns the crashes that count against a fingerprint.
    pub(super) fn count(&self, fingerprint: u64) -> CrashCount {
        let now = Instant::now();
        let crashes = self.lock();
        let Some(seen) = crashes.get(&fingerprint) else {
            return CrashCount::default();
        };
        let fresh = || seen.iter().filter(|crash| crash.is_fresh(now));
        CrashCount {
            crashes: fresh().filter(|crash| !crash.cleared).count(),
            until: fresh().filter(|crash| !crash.cleared).map(|at| at.at + CRASH_RETENTION).min(),
            has_completed: fresh().any(|crash| crash.cleared),
        }
    }

    /// Returns all fingerprints on record.
    pub(super) fn fingerprints(&self) -> SmallVec<[u64; 32]> {
        self.lock().keys().copied().collect()
    }
}

impl RecordedCrash {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < CRASH_RETENTION
    }
}
