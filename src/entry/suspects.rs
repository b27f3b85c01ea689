use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::CrashKeys;
use super::crash_ledger::CrashLedger;
use crate::peer::CrashReport;

/// Number of crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Number of crashes after which requests with a part of a prompt are quarantined. Others that
/// share parts with them run beside them, so it is more than for a request.
const PART_CRASHES_TO_QUARANTINE: usize = 3;
/// Sidecars lost within this time of each other count as lost together with their failure domain,
/// not because of a request.
const LOSS_WINDOW: Duration = Duration::from_secs(2);

/// How a request is treated because of the crashes that it was involved in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It was in flight at no recent crash.
    Clear,
    /// It was in flight at one crash: an upstream runs it only while it runs no other suspect.
    Suspect,
    /// It was in flight at two crashes, or a part of its prompt at more: it is refused until this
    /// time.
    Quarantined(Instant),
}

/// The requests that were in flight when an upstream crashed, and the shared parts of their
/// prompts, by fingerprint.
///
/// A harmless request that ran beside one that crashed the upstream becomes a suspect as well. An
/// upstream runs only one suspect at a time, so the two can run beside each other again only as
/// long as one of them is not recorded as a suspect. This keeps the harmless one from being in
/// flight at the other's second crash, which would quarantine both.
///
/// A harmless part of prompts is told from one that crashes upstreams by the requests with it that
/// complete.
#[derive(Debug, Default)]
pub struct Suspects {
    requests: CrashLedger,
    parts: CrashLedger,
    /// When sidecars were recently lost.
    losses: Mutex<SmallVec<[Instant; 8]>>,
}

impl Suspects {
    /// Records a crash. Several reports of the same crash count once.
    ///
    /// ```
    /// # use ebonyusher::{entry::{Suspects, QuarantineStatus}, peer::CrashReport};
    /// let suspects = Suspects::default();
    /// let prints = [7].into_iter().collect();
    /// let report = CrashReport { event: 1, prints, ..CrashReport::default() };
    /// suspects.record_crash(&report);
    /// suspects.record_crash(&report);
    /// assert_eq!(suspects.status(7), QuarantineStatus::Suspect);
    /// ```
    pub fn record_crash(&self, report: &CrashReport) {
        self.requests.record(report.event, &report.prints);
        self.parts.record(report.event, &report.parts);
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
        self.requests.clear(fingerprint);
    }

    /// Forgets the crashes of a request that has run to completion, and of the parts of its prompt.
    pub fn clear_all(&self, keys: &CrashKeys) {
        self.clear(keys.request);
        keys.parts.iter().for_each(|part| self.parts.clear(*part));
    }

    /// Returns how a request with this fingerprint is to be treated, the parts of its prompt aside.
    pub fn status(&self, fingerprint: u64) -> QuarantineStatus {
        let count = self.requests.count(fingerprint);
        match count.until {
            None => QuarantineStatus::Clear,
            Some(_) if count.crashes < CRASHES_TO_QUARANTINE => QuarantineStatus::Suspect,
            Some(until) => QuarantineStatus::Quarantined(until),
        }
    }

    /// Returns how a request is to be treated, by its own crashes and by those of the parts of its
    /// prompt.
    ///
    /// ```
    /// # use ebonyusher::{entry::{CrashKeys, Suspects, QuarantineStatus}, peer::CrashReport};
    /// let suspects = Suspects::default();
    /// for event in 0..3 {
    ///     let parts = [5].into_iter().collect();
    ///     suspects.record_crash(&CrashReport { event, parts, ..CrashReport::default() });
    /// }
    /// let keys = CrashKeys { request: 7, parts: [5].into_iter().collect() };
    /// assert!(matches!(suspects.judge(&keys), QuarantineStatus::Quarantined(_)));
    /// suspects.clear_all(&keys);
    /// assert_eq!(suspects.judge(&keys), QuarantineStatus::Clear);
    /// ```
    pub fn judge(&self, keys: &CrashKeys) -> QuarantineStatus {
        let quarantined = keys.parts.iter().find_map(|part| self.part_quarantine(*part));
        quarantined.map_or_else(|| self.status(keys.request), QuarantineStatus::Quarantined)
    }

    /// Returns until when requests with a part of a prompt are refused. A part with which requests
    /// have completed between crashes takes one more.
    fn part_quarantine(&self, part: u64) -> Option<Instant> {
        let count = self.parts.count(part);
        let limit = PART_CRASHES_TO_QUARANTINE + usize::from(count.has_completed);
        count.until.filter(|_| count.crashes >= limit)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        let is_quarantined = |fingerprint: &&u64| {
            matches!(self.status(**fingerprint), QuarantineStatus::Quarantined(_))
        };
        self.requests.fingerprints().iter().filter(is_quarantined).count()
    }
}
