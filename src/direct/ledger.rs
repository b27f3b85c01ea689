use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use super::DirectMeter;
use super::event::Event;
use crate::event_log::{EventLog, Level};
use crate::outcome::{Outcome, Reason, Refusal};

/// Account of one request: writes its last log line, and counts it, also if its caller leaves.
#[derive(Debug)]
pub(super) struct Ledger {
    log: EventLog,
    meter: Arc<DirectMeter>,
    id: HeaderValue,
    arrived: Instant,
    first: Option<Duration>,
    attempts: u32,
    open: bool,
}

impl Ledger {
    /// Opens the account of a request that arrived.
    pub(super) fn open(log: &EventLog, meter: &Arc<DirectMeter>, id: HeaderValue) -> Self {
        meter.in_flight(1);
        Self {
            log: log.clone(),
            meter: Arc::clone(meter),
            id,
            arrived: Instant::now(),
            first: None,
            attempts: 0,
            open: true,
        }
    }

    /// When the request arrived.
    pub(super) const fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Notes how many attempts have begun.
    pub(super) const fn attempted(&mut self, attempts: u32) {
        self.attempts = attempts;
    }

    /// Notes that the first byte of the answer goes to the caller.
    pub(super) fn first_byte(&mut self) {
        let time = self.arrived.elapsed();
        if self.first.is_none() {
            self.first = Some(time);
            self.meter.first_byte(time);
        }
    }

    /// Closes the account: the caller got the upstream's whole answer.
    pub(super) fn ran(mut self, status: u16) {
        self.first_byte();
        self.meter.whole(self.arrived.elapsed());
        self.end(Level::Info, status, Outcome::Ran, None, None);
    }

    /// Closes the account: the caller got a refusal.
    pub(super) fn refused(mut self, refusal: &Refusal, status: u16) {
        let reason = Some(refusal.reason);
        self.end(Level::Warn, status, refusal.outcome, reason, refusal.retry_after);
    }

    /// Closes the account: the answer was broken off.
    pub(super) fn broke(mut self, reason: Reason) {
        self.end(Level::Warn, 0, Outcome::Unknown, Some(reason), None);
    }

    fn end(
        &mut self,
        level: Level,
        status: u16,
        outcome: Outcome,
        reason: Option<Reason>,
        retry_after: Option<Duration>,
    ) {
        self.open = false;
        self.meter.in_flight(-1);
        self.meter.ended(outcome, reason);
        let event = Event::Ended {
            id: self.id.to_str().unwrap_or_default(),
            status,
            outcome: outcome.as_str(),
            reason: reason.map_or("", Reason::as_str),
            attempts: self.attempts,
            first_ms: self.first.map(millis),
            took_ms: millis(self.arrived.elapsed()),
            retry_after_ms: retry_after.map(millis),
        };
        self.log.write(level, &event);
    }
}

impl Drop for Ledger {
    fn drop(&mut self) {
        if self.open {
            self.end(Level::Warn, 0, Outcome::Unknown, Some(Reason::CallerGone), None);
        }
    }
}

/// A time in whole milliseconds, for the log.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
