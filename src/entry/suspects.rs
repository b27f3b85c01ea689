use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::peer::CrashReport;

/// Crashes at which a request is held back.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Time in which a failure domain takes its sidecars away.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// How long a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Fingerprints remembered before old ones are dropped.
const MAX_FINGERPRINTS: usize = 16_384;

/// What the crashes say of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It was in flight at no crash.
    Clear,
    /// It was in flight at one crash: it runs with no other suspect beside it.
    Suspect,
    /// It was in flight at two crashes: it is held back until the time given.
    Quarantined(Instant),
}

/// Requests that were in flight at crashes.
///
/// An innocent request that ran beside a crashing one is suspect once. Suspects run one at a time
/// at an upstream, so the crashing request can meet it again only if both are not yet suspect.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: Mutex<HashMap<u64, SmallVec<[RecordedCrash; 2]>>>,
    losses: Mutex<SmallVec<[Instant; 8]>>,
}

#[derive(Clone, Copy, Debug)]
struct RecordedCrash {
    id: u64,
    at: Instant,
}

impl Suspects {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, SmallVec<[RecordedCrash; 2]>>> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a crash. The same crash counts once, whoever tells of it.
    ///
    /// ```
    /// # use ebonyusher::{entry::{Suspects, QuarantineStatus}, peer::CrashReport};
    /// let suspects = Suspects::default();
    /// let report = CrashReport { event: 1, prints: [7].into_iter().collect() };
    /// suspects.record_crash(&report);
    /// suspects.record_crash(&report);
    /// assert_eq!(suspects.status(7), QuarantineStatus::Suspect);
    /// ```
    pub fn record_crash(&self, report: &CrashReport) {
        let now = Instant::now();
        let mut crashes = self.lock();
        if crashes.len() > MAX_FINGERPRINTS {
            crashes.retain(|_, seen| seen.iter().any(|crash| crash.is_fresh(now)));
        }
        for fingerprint in &report.prints {
            let seen = crashes.entry(*fingerprint).or_default();
            if seen.iter().all(|crash| crash.id != report.event) {
                seen.push(RecordedCrash { id: report.event, at: now });
            }
        }
    }

    /// Takes in that a sidecar was lost.
    pub fn record_lost_sidecar(&self) {
        let now = Instant::now();
        let mut losses = self.losses.lock().unwrap_or_else(PoisonError::into_inner);
        losses.retain(|at| now.saturating_duration_since(*at) < LOSS_WINDOW);
        losses.push(now);
    }

    /// Whether just one sidecar was lost of late. When several go at once it is their failure
    /// domain, and no request is to blame.
    pub fn is_single_loss(&self) -> bool {
        let now = Instant::now();
        let losses = self.losses.lock().unwrap_or_else(PoisonError::into_inner);
        losses.iter().filter(|at| now.saturating_duration_since(**at) < LOSS_WINDOW).count() == 1
    }

    /// Takes a request that ran to its end off the list.
    pub fn clear(&self, fingerprint: u64) {
        self.lock().remove(&fingerprint);
    }

    /// What is known of a request.
    pub fn status(&self, fingerprint: u64) -> QuarantineStatus {
        let now = Instant::now();
        let crashes = self.lock();
        let Some(seen) = crashes.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        let fresh = seen.iter().filter(|crash| crash.is_fresh(now));
        match fresh.clone().count() {
            0 => QuarantineStatus::Clear,
            count if count < CRASHES_TO_QUARANTINE => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined(
                fresh.map(|crash| crash.at + CRASH_RETENTION).min().unwrap_or(now),
            ),
        }
    }

    /// Number of requests held back.
    pub fn quarantined_count(&self) -> usize {
        let fingerprints: SmallVec<[u64; 32]> = self.lock().keys().copied().collect();
        fingerprints
            .iter()
            .filter(|fingerprint| {
                matches!(self.status(**fingerprint), QuarantineStatus::Quarantined(_))
            })
            .count()
    }
}

impl RecordedCrash {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < CRASH_RETENTION
    }
}
