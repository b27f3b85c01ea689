use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::SharedCrashCount;
use super::shared_crash_count::MAX_AGE_S;
use crate::units::unix_seconds;

/// Number of crashes from which a request is quarantined.
pub(super) const CRASHES_TO_QUARANTINE: u32 = 3;
/// Factor by which the quarantine time grows with each further crash.
const QUARANTINE_GROWTH: u32 = 4;
/// Upper bound of the quarantine time.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time after the last crash or trial after which a request is forgotten.
const RETENTION: Duration = Duration::from_secs(MAX_AGE_S);
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

/// How a request is treated because of the crashes at which it was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// It is sent like any other.
    Clear,
    /// It is refused.
    Quarantined(Quarantine),
    /// Its quarantine time is over: one entry may send it once.
    TrialDue(Quarantine),
}

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Number of crashes at which the request was in flight.
    pub crashes: u32,
    /// Time since the last of them or, if that was later, since the last trial.
    pub age: Duration,
    /// Time until a trial is due.
    pub left: Duration,
}

/// What one entry knows of the crashes at which a request was in flight.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) crashes: u32,
    trials: u32,
    /// When this entry noticed the last crash or trial or learned of it.
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
        Self { crashes: 1, trials: 0, last: attempt.ended, counted, learned: None }
    }

    /// Creates the record of crashes that other entries have counted.
    pub(super) fn learned(shared: SharedCrashCount, now: Instant) -> Self {
        let SharedCrashCount { crashes, trials, .. } = shared;
        Self { crashes, trials, last: now, counted: SmallVec::new(), learned: Some(now) }
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

    /// Returns what decides which of two counts holds.
    pub(super) const fn order(&self) -> (u32, u32) {
        (self.crashes, self.trials)
    }

    /// Returns whether the last crash is too long ago to count.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) >= RETENTION
    }

    /// Returns the count for the other entries.
    pub(super) fn shared(&self) -> SharedCrashCount {
        let at = unix_seconds(self.last.elapsed());
        SharedCrashCount { crashes: self.crashes, trials: self.trials, at }
    }

    /// Returns the count with one more trial, which begins now.
    pub(super) fn with_trial(&self) -> SharedCrashCount {
        let at = unix_seconds(Duration::ZERO);
        SharedCrashCount { crashes: self.crashes, trials: self.trials + 1, at }
    }

    /// Returns how the request is treated. `first_quarantine` is the quarantine time after the
    /// crash that makes it quarantined.
    pub(super) fn status(&self, first_quarantine: Duration, now: Instant) -> CrashStatus {
        let Some(further) = self.crashes.checked_sub(CRASHES_TO_QUARANTINE) else {
            return CrashStatus::Clear;
        };
        let growth = QUARANTINE_GROWTH.saturating_pow(further);
        let time = first_quarantine.saturating_mul(growth).min(MAX_QUARANTINE);
        let age = now.saturating_duration_since(self.last);
        let left = time.saturating_sub(age);
        let quarantine = Quarantine { crashes: self.crashes, age, left };
        if left.is_zero() {
            CrashStatus::TrialDue(quarantine)
        } else {
            CrashStatus::Quarantined(quarantine)
        }
    }
}
