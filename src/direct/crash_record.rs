use std::time::{Duration, SystemTime, UNIX_EPOCH};

use smallvec::SmallVec;
use tokio::time::Instant;

use super::SharedCrashCount;

/// Number of crashes from which a request is quarantined.
pub(super) const CRASHES_TO_QUARANTINE: u32 = 3;
/// First quarantine time of a request, doubled with each further crash.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(20);
/// Upper bound of the quarantine time.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);
/// Number of counted attempts that are kept for a request.
const MAX_COUNTED: usize = 4;

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

/// What one entry knows of the crashes at which a request was in flight.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) crashes: u32,
    /// When this entry noticed the last crash or learned of it.
    pub(super) last: Instant,
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
    /// Creates the record of a first crash.
    pub(super) fn first(attempt: CrashedAttempt) -> Self {
        let counted = [attempt].into_iter().collect();
        Self { crashes: 1, last: attempt.ended, counted, learned: None }
    }

    /// Creates the record of crashes that other entries have counted.
    pub(super) fn learned(shared: SharedCrashCount, now: Instant) -> Self {
        let counted = SmallVec::new();
        Self { crashes: shared.crashes, last: now, counted, learned: Some(now) }
    }

    /// Counts an attempt, unless it was in flight together with one that is counted, also as far as
    /// others may have counted it.
    pub(super) fn count(&mut self, attempt: CrashedAttempt) -> Option<u32> {
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

    /// Returns the count for the other entries.
    pub(super) fn shared(&self) -> SharedCrashCount {
        let at = SystemTime::now().checked_sub(self.last.elapsed());
        let at = at.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        SharedCrashCount { crashes: self.crashes, at: at.map_or(0, |at| at.as_secs()) }
    }

    /// Returns the quarantine of the request, if it is quarantined.
    pub(super) fn quarantine(&self, now: Instant) -> Option<Quarantine> {
        let doublings = self.crashes.checked_sub(CRASHES_TO_QUARANTINE)?;
        let quarantine =
            INITIAL_QUARANTINE.saturating_mul(1 << doublings.min(5)).min(MAX_QUARANTINE);
        let age = now.saturating_duration_since(self.last);
        let left = quarantine.checked_sub(age).filter(|left| !left.is_zero())?;
        Some(Quarantine { crashes: self.crashes, age, left })
    }
}
