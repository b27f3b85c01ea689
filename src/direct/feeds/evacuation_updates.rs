use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::direct::event::Event;
use crate::direct::{Changes, DirectMeter, Evacuations, RoutingChange};
use crate::event_log::{EventLog, Level};
use crate::units::millis;

/// How an answer of the platform was obtained.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    /// When the call was sent.
    pub(super) sent: Instant,
    /// Whether the answer has everything, not only changes.
    pub(super) is_whole: bool,
    /// Time for which evacuations that the store lacks are kept, soon after an outage.
    pub(super) grace: Option<Duration>,
}

/// Applies what the platform tells of evacuated failure domains.
#[derive(Debug)]
pub(in crate::direct) struct EvacuationUpdates {
    pub(in crate::direct) evacuations: Arc<Evacuations>,
    pub(in crate::direct) meter: Arc<DirectMeter>,
    pub(in crate::direct) log: EventLog,
}

impl EvacuationUpdates {
    /// Applies an answer of the platform.
    pub(super) fn apply(&self, changes: &Changes<RoutingChange>, reading: &Reading) {
        let version = changes.cursor.version;
        for change in &changes.items {
            match change {
                RoutingChange::Evacuated(domain) => self.evacuate(domain, version, reading),
                RoutingChange::Restored(domain) => self.restore(domain, version, reading),
                RoutingChange::Written(_) | RoutingChange::Unusable(_) => {}
            }
        }
        if reading.is_whole {
            self.restore_missing(changes, reading);
        }
        // An answer to a call that was sent later has what the operator wrote within the grace time.
        for domain in self.evacuations.expired(reading.sent) {
            self.restore(&domain, version, reading);
        }
        self.meter.evacuated_domains(self.evacuations.len());
    }

    /// Returns the time limit of the next call, which ends no later than when an evacuation that
    /// the store has lost is due to end.
    pub(super) fn next_wait(&self, wait: Duration, now: Instant) -> Duration {
        let left = self.evacuations.next_expiry().map(|at| at.saturating_duration_since(now));
        left.map_or(wait, |left| left.min(wait))
    }

    /// Restores the failure domains that a whole answer lacks, or keeps them for the grace time.
    fn restore_missing(&self, changes: &Changes<RoutingChange>, reading: &Reading) {
        let read = changes.items.iter().filter_map(|change| match change {
            RoutingChange::Evacuated(domain) => Some(domain.as_str()),
            _ => None,
        });
        let read: HashSet<&str> = read.collect();
        let version = changes.cursor.version;
        for domain in self.evacuations.missing(&read) {
            match reading.grace {
                Some(grace) if self.evacuations.keep(&domain, reading.sent + grace) => {
                    self.log_change(&domain, "missing", version, reading, Duration::ZERO);
                }
                Some(_) => {}
                None => self.restore(&domain, version, reading),
            }
        }
    }

    fn evacuate(&self, domain: &str, version: u64, reading: &Reading) {
        if self.evacuations.evacuate(domain, version, Instant::now()) {
            self.log_change(domain, "evacuated", version, reading, Duration::ZERO);
        }
    }

    fn restore(&self, domain: &str, version: u64, reading: &Reading) {
        if let Some(known) = self.evacuations.restore(domain) {
            self.log_change(domain, "restored", version, reading, known.since.elapsed());
        }
    }

    fn log_change(
        &self,
        domain: &str,
        change: &str,
        version: u64,
        reading: &Reading,
        known: Duration,
    ) {
        let (age_ms, known_ms) = (millis(reading.sent.elapsed()), millis(known));
        let event = Event::Evacuation { domain, change, version, age_ms, known_ms };
        self.log.write(Level::Warn, &event);
    }
}
