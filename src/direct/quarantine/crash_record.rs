use std::time::Duration;

use tokio::time::Instant;

use super::shared_crashes::MAX_AGE_S;
use super::{Crash, CrashSet, SharedCrashes, Survivals};
use crate::direct::ListedUpstream;
use crate::units::unix_seconds;

/// Number of crashes from which a request is quarantined, whatever its service.
pub(in crate::direct) const MAX_CRASHES: u32 = 3;
/// Factor by which the quarantine time grows with each further crash.
const QUARANTINE_GROWTH: u32 = 4;
/// Upper bound of the quarantine time.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time after the last crash or trial after which a request is forgotten.
const RETENTION: Duration = Duration::from_secs(MAX_AGE_S);

/// How a request, or one with a part of a prompt, is treated because of the crashes at which it was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// It is sent like any other.
    Clear,
    /// Its quarantine time is over: one entry may send it once.
    TrialDue(Quarantine),
    /// It is refused.
    Quarantined(Quarantine),
}

impl CrashStatus {
    /// Returns the order of treatments, the most severe one last.
    pub(super) const fn severity(&self) -> u32 {
        match self {
            Self::Clear => 0,
            Self::TrialDue(_) => 1,
            Self::Quarantined(_) => 2,
        }
    }
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
pub(in crate::direct) struct CrashRecord {
    crashes: CrashSet,
    survivals: Survivals,
    trials: u32,
    /// When this entry noticed the last crash or trial or learned of it.
    pub(in crate::direct) last: Instant,
}

impl CrashRecord {
    /// Creates the record of a first crash.
    pub(in crate::direct) fn first(crash: Crash, ended: Instant) -> Self {
        let mut crashes = CrashSet::default();
        crashes.insert(crash);
        Self { crashes, survivals: Survivals::default(), trials: 0, last: ended }
    }

    /// Creates the record of crashes that other entries have noticed.
    pub(in crate::direct) fn learned(shared: &SharedCrashes, now: Instant) -> Self {
        let (crashes, survivals) = (shared.crashes.clone(), shared.survivals.clone());
        Self { crashes, survivals, trials: shared.trials, last: now }
    }

    /// Adds a crash. Returns whether the record changed.
    pub(in crate::direct) fn add(&mut self, crash: Crash, ended: Instant) -> bool {
        let before = self.count();
        let changed = self.crashes.insert(crash);
        if self.count() > before {
            self.last = self.last.max(ended);
        }
        changed
    }

    /// Adds an upstream that lived on. Returns whether the record changed.
    pub(in crate::direct) fn add_survival(&mut self, listed: &ListedUpstream) -> bool {
        self.survivals.insert(&listed.id, listed.started_at_ms)
    }

    /// Adds what other entries have noticed. Returns whether it changes the number of crashes or
    /// trials.
    pub(in crate::direct) fn join(&mut self, shared: &SharedCrashes, now: Instant) -> bool {
        let before = (self.count(), self.trials);
        self.crashes.join(&shared.crashes);
        self.survivals.join(&shared.survivals);
        self.trials = self.trials.max(shared.trials);
        let says_more = (self.count(), self.trials) != before;
        if says_more {
            self.last = now;
        }
        says_more
    }

    /// Returns the number of crashes that count. Each upstream that lived on makes up for one.
    pub(in crate::direct) fn count(&self) -> u32 {
        self.crashes.count().saturating_sub(self.survivals.count_beside(&self.crashes))
    }

    /// Returns whether this record explains all crashes of another one as well.
    pub(in crate::direct) fn explains(&self, other: &Self) -> bool {
        self.count() >= other.count() && self.crashes.includes(&other.crashes)
    }

    /// Returns whether a row says as much as this record.
    pub(in crate::direct) fn is_said_by(&self, shared: &SharedCrashes) -> bool {
        self.crashes == shared.crashes
            && self.survivals == shared.survivals
            && self.trials == shared.trials
    }

    /// Returns whether the last crash is too long ago to count.
    pub(in crate::direct) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) >= RETENTION
    }

    /// Returns the crashes for the other entries.
    pub(in crate::direct) fn shared(&self) -> SharedCrashes {
        let at = unix_seconds(self.last.elapsed());
        let (crashes, survivals) = (self.crashes.clone(), self.survivals.clone());
        SharedCrashes { crashes, survivals, trials: self.trials, at }
    }

    /// Returns the crashes with one more trial, which begins now.
    pub(in crate::direct) fn with_trial(&self) -> SharedCrashes {
        let at = unix_seconds(Duration::ZERO);
        SharedCrashes { trials: self.trials + 1, at, ..self.shared() }
    }

    /// Returns how the request is treated from `limit` crashes on. `first_quarantine` is the
    /// quarantine time after the crash that makes it quarantined.
    pub(in crate::direct) fn status(
        &self,
        limit: u32,
        first_quarantine: Duration,
        now: Instant,
    ) -> CrashStatus {
        let crashes = self.count();
        if crashes < limit {
            return CrashStatus::Clear;
        }
        let growth = QUARANTINE_GROWTH.saturating_pow(crashes.saturating_sub(MAX_CRASHES));
        let time = first_quarantine.saturating_mul(growth).min(MAX_QUARANTINE);
        let age = now.saturating_duration_since(self.last);
        let left = time.saturating_sub(age);
        let quarantine = Quarantine { crashes, age, left };
        match left.is_zero() {
            // Only a request that has crashed so often needs a trial.
            true if crashes < MAX_CRASHES => CrashStatus::Clear,
            true => CrashStatus::TrialDue(quarantine),
            false => CrashStatus::Quarantined(quarantine),
        }
    }
}
