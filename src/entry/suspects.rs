use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::peer::CrashReport;

/// Number of crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Sidecars lost within this time of each other count as lost together with their failure domain,
/// not because of a request.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// How long a crash counts against the requests that were in flight.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Number of fingerprints above which those with only expired crashes are dropped.
const MAX_FINGERPRINTS: usize = 16_384;

/// How a request is treated because of the crashes that it was involved in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It was in flight at no recent crash.
    Clear,
    /// It was in flight at one crash: an upstream runs it only while it runs no other suspect.
    Suspect,
    /// It was in flight at two crashes: it is refused until this time.
    Quarantined(Instant),
}

/// The requests that were in flight when an upstream crashed, by fingerprint.
///
/// A harmless request that ran beside one that crashed the upstream becomes a suspect as well. An
/// upstream runs only one suspect at a time, so the two can run beside each other again only as
/// long as one of them is not recorded as a suspect. This keeps the harmless one from being in
/// flight at the other's second crash, which would quarantine both.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: Mutex<HashMap<u64, SmallVec<[RecordedCrash; 2]>>>,
    /// When sidecars were recently lost.
    losses: Mutex<SmallVec<[Instant; 8]>>,
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

impl Suspects {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, SmallVec<[RecordedCrash; 2]>>> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a crash. Several reports of the same crash count once.
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
                seen.push(RecordedCrash { id: report.event, at: now, cleared: false });
            }
        }
    }

    /// Records that the link to a sidecar was lost.
    pub fn record_lost_sidecar(&self) {
        let now = Instant::now();
        let mut losses = self.losses.lock().unwrap_or_else(PoisonError::into_inner);
        losses.retain(|at| now.saturating_duration_since(*at) < LOSS_WINDOW);
        losses.push(now);
    }

    /// Whether exactly one sidecar was lost recently. If several are lost at once, the cause is
    /// their failure domain and not a request.
    pub fn is_single_loss(&self) -> bool {
        let now = Instant::now();
        let losses = self.losses.lock().unwrap_or_else(PoisonError::into_inner);
        losses.iter().filter(|at| now.saturating_duration_since(**at) < LOSS_WINDOW).count() == 1
    }

    /// Forgets the crashes of a request, because it has now run to completion.
    pub fn clear(&self, fingerprint: u64) {
        if let Some(seen) = self.lock().get_mut(&fingerprint) {
            seen.iter_mut().for_each(|crash| crash.cleared = true);
        }
    }

    /// Returns how a request with this fingerprint is to be treated.
    pub fn status(&self, fingerprint: u64) -> QuarantineStatus {
        let now = Instant::now();
        let crashes = self.lock();
        let Some(seen) = crashes.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        let fresh = seen.iter().filter(|crash| crash.is_fresh(now) && !crash.cleared);
        match fresh.clone().count() {
            0 => QuarantineStatus::Clear,
            count if count < CRASHES_TO_QUARANTINE => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined(
                fresh.map(|crash| crash.at + CRASH_RETENTION).min().unwrap_or(now),
            ),
        }
    }

    /// Returns the number of quarantined requests.
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
