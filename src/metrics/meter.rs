use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient,
};
use displaydoc::Display;
use thiserror::Error;

use super::{Event, ReasonCounters};
use crate::outcome::Reason;

/// Metrics can't be sent to {addr}: {reason}
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub struct MeterError {
    addr: SocketAddr,
    reason: String,
}

/// All counters of one process.
#[derive(Debug)]
pub struct Meter {
    refusals: ReasonCounters,
    retries: ReasonCounters,
    events: [AtomicU64; Event::ALL.len()],
    statsd: StatsdClient,
}

impl Meter {
    /// Creates counters that are only kept in the process.
    ///
    /// ```
    /// # use ebonyusher::metrics::{Event, Meter};
    /// let meter = Meter::local();
    /// meter.count(Event::Request);
    /// assert_eq!(meter.get(Event::Request), 1);
    /// ```
    pub fn local() -> Self {
        Self::with_client(StatsdClient::from_sink("ebonyusher", NopMetricSink))
    }

    /// Creates counters that are also sent to a statsd server, if an address is given.
    ///
    /// # Errors
    /// [`MeterError`] if no socket can be opened.
    pub fn with_statsd(addr: Option<SocketAddr>) -> Result<Self, MeterError> {
        let Some(addr) = addr else {
            return Ok(Self::local());
        };
        let error = |reason: String| MeterError { addr, reason };
        let socket = UdpSocket::bind("0.0.0.0:0").map_err(|err| error(err.to_string()))?;
        socket.set_nonblocking(true).map_err(|err| error(err.to_string()))?;
        let sink =
            BufferedUdpMetricSink::from(addr, socket).map_err(|err| error(err.to_string()))?;
        Ok(Self::with_client(StatsdClient::from_sink("ebonyusher", QueuingMetricSink::from(sink))))
    }

    fn with_client(statsd: StatsdClient) -> Self {
        Self {
            refusals: ReasonCounters::default(),
            retries: ReasonCounters::default(),
            events: Default::default(),
            statsd,
        }
    }

    /// Counts a refusal or failure.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.add(reason);
        self.statsd.count_with_tags("refusal", 1).with_tag("reason", reason.as_str()).send();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.add(reason);
        self.statsd.count_with_tags("retry", 1).with_tag("reason", reason.as_str()).send();
    }

    /// Counts an event.
    pub fn count(&self, event: Event) {
        self.add(event, 1);
    }

    /// Adds to the count of an event.
    pub fn add(&self, event: Event, times: u64) {
        self.events[event as usize].fetch_add(times, Ordering::Relaxed);
        self.statsd.count(event.as_str(), i64::try_from(times).unwrap_or(i64::MAX)).ok();
    }

    /// Sends a gauge. Gauges are not kept in the process.
    pub fn gauge(&self, name: &str, value: u64) {
        self.statsd.gauge(name, value).ok();
    }

    /// Returns the count of an event.
    pub fn get(&self, event: Event) -> u64 {
        self.events[event as usize].load(Ordering::Relaxed)
    }

    /// The counters of refusals and failures by reason.
    pub const fn refusals(&self) -> &ReasonCounters {
        &self.refusals
    }

    /// The counters of retries by reason.
    pub const fn retries(&self) -> &ReasonCounters {
        &self.retries
    }

    /// Returns the counts of all events by name.
    pub fn events(&self) -> BTreeMap<String, u64> {
        Event::ALL.map(|event| (event.as_str().to_owned(), self.get(event))).into_iter().collect()
    }
}
