use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::admission::MAX_PRIORITY;
use crate::net::Pressure;
use crate::outcome::{Outcome, Reason};

/// Upper bound of the first bucket of the histograms, in seconds.
const FIRST_BUCKET_S: f64 = 0.005;
/// Ratio of the upper bounds of adjacent buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets of each histogram.
const BUCKET_COUNT: u16 = 12;

/// Labels of the counter of finished requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct EndLabels {
    outcome: &'static str,
    reason: &'static str,
}

/// Labels of the counter of retries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RetryLabels {
    reason: &'static str,
}

/// Labels of the counter of admission decisions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct AdmissionLabels {
    priority: u32,
    decision: &'static str,
}

/// Label of what callers take.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct PressureLabels {
    what: &'static str,
}

/// Label of the gauges of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Metrics of an entry, exported in the OpenMetrics text format.
pub struct DirectMeter {
    registry: Registry,
    ended: Family<EndLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    admissions: Family<AdmissionLabels, Counter>,
    first_byte: Histogram,
    last_byte: Histogram,
    in_flight: Gauge,
    pressure: Family<PressureLabels, Gauge>,
    revision: Gauge,
    limited_upstreams: Gauge,
    evacuated_domains: Gauge,
    groups: Gauge,
    cold_upstreams: Gauge,
    slow_upstreams: Family<ServiceLabels, Gauge>,
    learned_capacity: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
}

impl fmt::Debug for DirectMeter {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("DirectMeter").finish_non_exhaustive()
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT))
}

impl DirectMeter {
    /// Creates and registers all metrics.
    ///
    /// ```
    /// # use ebonyusher::direct::DirectMeter;
    /// # use ebonyusher::outcome::{Outcome, Reason};
    /// let meter = DirectMeter::new();
    /// meter.ended(Outcome::NotRun, Some(Reason::Overload));
    /// assert!(meter.text().contains("outcome=\"not-run\",reason=\"overload\"} 1"));
    /// ```
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("ebonyusher");
        let ended = Family::default();
        registry.register("requests_ended", "Requests by outcome and reason", ended.clone());
        let retries = Family::default();
        registry.register("retries", "Attempts after the first, by reason", retries.clone());
        let admissions = Family::default();
        let help = "Admission decisions on requests of engine services, by priority";
        registry.register("admissions", help, admissions.clone());
        let first_byte = histogram();
        let help = "Time from a request's arrival to the first byte of its answer";
        registry.register("first_byte_seconds", help, first_byte.clone());
        let last_byte = histogram();
        let help = "Time from a request's arrival to the end of its answer";
        registry.register("answer_seconds", help, last_byte.clone());
        let in_flight = Gauge::default();
        registry.register("in_flight", "Requests in flight", in_flight.clone());
        let pressure = Family::default();
        let help = "What callers take of the process, and how often it was too much";
        registry.register("callers", help, pressure.clone());
        let revision = Gauge::default();
        registry.register("settings_revision", "Revision in force", revision.clone());
        let limited_upstreams = Gauge::default();
        let help = "Upstreams that name a limit of requests per second";
        registry.register("limited_upstreams", help, limited_upstreams.clone());
        let evacuated_domains = Gauge::default();
        let help = "Failure domains that are evacuated";
        registry.register("evacuated_domains", help, evacuated_domains.clone());
        let groups = Gauge::default();
        let help = "Groups that share a service with others, of all services";
        registry.register("groups", help, groups.clone());
        let cold_upstreams = Gauge::default();
        registry.register("cold_upstreams", "Upstreams that are cold", cold_upstreams.clone());
        let slow_upstreams = Family::default();
        let help = "Upstreams that take at least twice the time of the others";
        registry.register("slow_upstreams", help, slow_upstreams.clone());
        let learned_capacity = Family::default();
        let help = "Requests that an engine serves on time, as learned";
        registry.register("learned_capacity", help, learned_capacity.clone());
        Self {
            registry,
            ended,
            retries,
            admissions,
            first_byte,
            last_byte,
            in_flight,
            pressure,
            revision,
            limited_upstreams,
            evacuated_domains,
            groups,
            cold_upstreams,
            slow_upstreams,
            learned_capacity,
        }
    }

    /// Counts a finished request.
    pub fn ended(&self, outcome: Outcome, reason: Option<Reason>) {
        let reason = reason.map_or("", Reason::as_str);
        self.ended.get_or_create(&EndLabels { outcome: outcome.as_str(), reason }).inc();
    }

    /// Counts an attempt after the first one, by the reason why it was made.
    pub fn retried(&self, reason: Reason) {
        self.retries.get_or_create(&RetryLabels { reason: reason.as_str() }).inc();
    }

    /// Counts the decision whether to admit a request.
    ///
    /// ```
    /// # use ebonyusher::direct::DirectMeter;
    /// let meter = DirectMeter::new();
    /// meter.decided(200, false);
    /// assert!(meter.text().contains("priority=\"9\",decision=\"refused\"} 1"));
    /// ```
    pub fn decided(&self, priority: u8, is_admitted: bool) {
        let priority = u32::from(priority.min(MAX_PRIORITY));
        let decision = if is_admitted { "admitted" } else { "refused" };
        self.admissions.get_or_create(&AdmissionLabels { priority, decision }).inc();
    }

    /// Records the time to the first byte of a response.
    pub fn first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Records the time to the last byte of a response.
    pub fn last_byte(&self, time: Duration) {
        self.last_byte.observe(time.as_secs_f64());
    }

    /// Adds a change to the number of requests in flight.
    pub fn in_flight(&self, change: i64) {
        self.in_flight.inc_by(change);
    }

    /// Records what callers take.
    ///
    /// ```
    /// # use ebonyusher::direct::DirectMeter;
    /// # use ebonyusher::net::Pressure;
    /// let meter = DirectMeter::new();
    /// meter.pressure(&Pressure { no_memory: 3, ..Pressure::default() });
    /// assert!(meter.text().contains("ebonyusher_callers{what=\"no-memory\"} 3"));
    /// ```
    pub fn pressure(&self, pressure: &Pressure) {
        let to_u64 = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
        let values = [
            ("held-bytes", to_u64(pressure.held_bytes)),
            ("no-memory", pressure.no_memory),
            ("gave-way", pressure.gave_way),
            ("connections", to_u64(pressure.connections)),
            ("connections-refused", pressure.connections_refused),
            ("connections-closed", pressure.connections_closed),
            ("connections-late", pressure.connections_late),
            ("too-large", pressure.too_large),
        ];
        for (what, value) in values {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.pressure.get_or_create(&PressureLabels { what }).set(value);
        }
    }

    /// Records the settings revision in force.
    pub fn revision(&self, revision: u64) {
        self.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Records how many upstreams name a limit.
    pub fn limited_upstreams(&self, number: usize) {
        self.limited_upstreams.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Records how many failure domains are evacuated.
    pub fn evacuated_domains(&self, number: usize) {
        self.evacuated_domains.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Records how many groups are known.
    pub fn groups(&self, number: usize) {
        self.groups.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Records how many upstreams are cold.
    pub fn cold_upstreams(&self, number: usize) {
        self.cold_upstreams.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Records how many upstreams of a service are slow.
    pub fn slow_upstreams(&self, service: &str, number: usize) {
        let labels = ServiceLabels { service: service.to_owned() };
        let number = i64::try_from(number).unwrap_or(i64::MAX);
        self.slow_upstreams.get_or_create(&labels).set(number);
    }

    /// Records the learned capacity of an engine, the least of the groups of a service.
    pub fn learned_capacity(&self, service: &str, requests: f64) {
        let labels = ServiceLabels { service: service.to_owned() };
        self.learned_capacity.get_or_create(&labels).set(requests);
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        encode(&mut text, &self.registry).ok();
        text
    }
}

impl Default for DirectMeter {
    fn default() -> Self {
        Self::new()
    }
}
