use std::time::Duration;

use tokio::time::Instant;

use super::Offer;
use crate::capacity::DecayingSum;
use crate::direct::LatencyTargets;

/// Least urgent priority. A greater number counts as this one.
pub const MAX_PRIORITY: u8 = 9;
/// Number of priorities.
const COUNT: usize = MAX_PRIORITY as usize + 1;
/// Time without a request after which a priority no longer counts.
const SEEN_FOR: Duration = Duration::from_secs(30);
/// Time over which the arrival rate is taken.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Time over which the admitted fractions are compared.
const FRACTION_TIME: Duration = Duration::from_secs(3);
/// Time after a refusal for which a priority counts as overloaded.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);
/// Part of all admitted requests that a less urgent priority gets under lasting overload.
const MIN_PART: f64 = 0.05;
/// Arrivals from which the refused part of a priority counts fully.
const MIN_ASKED: f64 = 5.0;
/// Upper bound of the ratio of arrivals to admitted requests.
const MAX_ASKED_PER_ADMITTED: f64 = 20.0;

/// Recent requests of an entry for a service, by priority.
#[derive(Debug)]
pub struct Priorities {
    records: [Record; COUNT],
}

#[derive(Clone, Copy, Debug)]
struct Record {
    arrivals: DecayingSum,
    asked: DecayingSum,
    admitted: DecayingSum,
    /// Requests refused for the load.
    refused: DecayingSum,
    last_arrival: Option<Instant>,
    last_refusal: Option<Instant>,
    /// Tightest targets seen, and when.
    targets: Option<(LatencyTargets, Instant)>,
}

impl Default for Priorities {
    fn default() -> Self {
        let record = Record {
            arrivals: DecayingSum::new(RATE_TIME),
            asked: DecayingSum::new(FRACTION_TIME),
            admitted: DecayingSum::new(FRACTION_TIME),
            refused: DecayingSum::new(FRACTION_TIME),
            last_arrival: None,
            last_refusal: None,
            targets: None,
        };
        Self { records: [record; COUNT] }
    }
}

impl Priorities {
    /// Counts the arrival of a request.
    pub fn record_arrival(&mut self, offer: &Offer, now: Instant) {
        let record = &mut self.records[index(offer.priority)];
        record.arrivals.add(offer.work, now);
        record.asked.add(offer.work, now);
        record.last_arrival = Some(now);
        let kept = record.targets.filter(|(_, at)| is_within(SEEN_FOR, *at, now));
        let is_tightest = kept.is_none_or(|(kept, _)| tightest(kept, offer.targets) != kept);
        if is_tightest || kept.is_some_and(|(kept, _)| kept == offer.targets) {
            let targets = kept.map_or(offer.targets, |(kept, _)| tightest(kept, offer.targets));
            record.targets = Some((targets, now));
        }
    }

    /// Counts an admitted request.
    pub fn record_admitted(&mut self, offer: &Offer, now: Instant) {
        self.records[index(offer.priority)].admitted.add(offer.work, now);
    }

    /// Records that a request was refused for the load.
    pub fn record_overload(&mut self, offer: &Offer, now: Instant) {
        let record = &mut self.records[index(offer.priority)];
        record.last_refusal = Some(now);
        record.refused.add(offer.work, now);
    }

    /// Returns whether requests of the priority were refused for the load recently.
    pub fn is_overloaded(&self, priority: u8, now: Instant) -> bool {
        let last_refusal = self.records[index(priority)].last_refusal;
        last_refusal.is_some_and(|at| is_within(OVERLOAD_TIME, at, now))
    }

    /// Returns whether no other priority was seen recently.
    pub fn is_single(&self, priority: u8, now: Instant) -> bool {
        let own = index(priority);
        (0..COUNT).all(|at| at == own || !self.records[at].is_seen(now))
    }

    /// Returns whether no more urgent priority was seen recently.
    pub fn is_most_urgent(&self, priority: u8, now: Instant) -> bool {
        self.more_urgent(priority, now).next().is_none()
    }

    /// Returns how many priorities are more urgent, and how many there are besides the most urgent.
    pub fn rank(&self, priority: u8, now: Instant) -> (usize, usize) {
        let seen = self.records.iter().filter(|record| record.is_seen(now)).count();
        (self.more_urgent(priority, now).count(), seen.saturating_sub(1))
    }

    /// Returns the largest part of a more urgent priority that was refused for the load.
    pub fn refused_part(&self, priority: u8, now: Instant) -> f64 {
        let parts = self
            .more_urgent(priority, now)
            .map(|record| record.refused.get(now) / record.asked.get(now).max(MIN_ASKED));
        parts.fold(0.0, f64::max).min(1.0)
    }

    /// Returns how many requests were asked for each one that was not refused for the load.
    pub fn asked_per_admitted(&self, now: Instant) -> f64 {
        let asked: f64 = self.records.iter().map(|record| record.asked.get(now)).sum();
        let refused: f64 = self.records.iter().map(|record| record.refused.get(now)).sum();
        let admitted = (asked - refused).max(asked / MAX_ASKED_PER_ADMITTED);
        if admitted > 0.0 { asked / admitted } else { 1.0 }
    }

    /// Returns whether requests of any priority were refused for the load recently.
    pub fn is_any_overloaded(&self, now: Instant) -> bool {
        (0..=MAX_PRIORITY).any(|priority| self.is_overloaded(priority, now))
    }

    /// Returns the arrivals of more urgent requests per second.
    pub fn urgent_rate(&self, priority: u8, now: Instant) -> f64 {
        self.more_urgent(priority, now).map(|record| record.arrivals.rate(now)).sum()
    }

    /// Returns the tightest targets of the request and of the more urgent priorities.
    pub fn tightest_targets(&self, offer: &Offer, now: Instant) -> LatencyTargets {
        let targets = self.more_urgent(offer.priority, now).filter_map(|record| record.targets);
        targets.fold(offer.targets, |tight, (targets, _)| tightest(tight, targets))
    }

    /// Returns whether a priority has less than the part of the admitted requests that it is
    /// guaranteed, and was not served better than a more urgent one.
    pub fn is_starved(&self, priority: u8, now: Instant) -> bool {
        let own = &self.records[index(priority)];
        let total: f64 = self.records.iter().map(|record| record.admitted.get(now)).sum();
        let fraction = own.admitted_fraction(now);
        own.admitted.get(now) < total * MIN_PART
            && self
                .more_urgent(priority, now)
                .all(|record| fraction <= record.admitted_fraction(now))
    }

    fn more_urgent(&self, priority: u8, now: Instant) -> impl Iterator<Item = &Record> {
        self.records[..index(priority)].iter().filter(move |record| record.is_seen(now))
    }
}

impl Record {
    fn is_seen(&self, now: Instant) -> bool {
        self.last_arrival.is_some_and(|at| is_within(SEEN_FOR, at, now))
    }

    fn admitted_fraction(&self, now: Instant) -> f64 {
        let asked = self.asked.get(now);
        if asked > 0.0 { self.admitted.get(now) / asked } else { 1.0 }
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority.min(MAX_PRIORITY))
}

fn is_within(time: Duration, at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) <= time
}

fn tightest(left: LatencyTargets, right: LatencyTargets) -> LatencyTargets {
    LatencyTargets {
        first_byte: left.first_byte.min(right.first_byte),
        gap: left.gap.into_iter().chain(right.gap).min(),
    }
}
