use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use crate::direct::DirectMeter;
use crate::direct::event::Event;
use crate::event_log::{EventLog, Level};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::units::millis;

/// Tracks one request, and logs and counts its end, also if the caller disconnects.
#[derive(Debug)]
pub(in crate::direct) struct RequestTracker {
    log: EventLog,
    meter: Arc<DirectMeter>,
    id: HeaderValue,
    arrival: Instant,
    first_byte_after: Option<Duration>,
    attempts: u32,
    is_open: bool,
}

impl RequestTracker {
    /// Starts tracking a request that has arrived.
    pub(in crate::direct) fn start(
        log: &EventLog,
        meter: &Arc<DirectMeter>,
        id: HeaderValue,
    ) -> Self {
        meter.in_flight(1);
        Self {
            log: log.clone(),
            meter: Arc::clone(meter),
            id,
            arrival: Instant::now(),
            first_byte_after: None,
            attempts: 0,
            is_open: true,
        }
    }

    /// Returns when the request arrived.
    pub(in crate::direct) const fn arrival(&self) -> Instant {
        self.arrival
    }

    /// Records how many attempts were started.
    pub(in crate::direct) const fn set_attempts(&mut self, attempts: u32) {
        self.attempts = attempts;
    }

    /// Records that the first byte of the response goes to the caller; later calls have no effect.
    pub(in crate::direct) fn first_byte(&mut self) {
        let time = self.arrival.elapsed();
        if self.first_byte_after.is_none() {
            self.first_byte_after = Some(time);
            self.meter.first_byte(time);
        }
    }

    /// Ends tracking: the caller got the complete response of the upstream.
    pub(in crate::direct) fn finish_answered(mut self, status: u16) {
        self.first_byte();
        self.meter.last_byte(self.arrival.elapsed());
        self.finish(Level::Info, status, Outcome::Ran, None, None);
    }

    /// Ends tracking: the caller got a refusal.
    pub(in crate::direct) fn finish_refused(mut self, refusal: &Refusal, status: u16) {
        let reason = Some(refusal.reason);
        self.finish(Level::Warn, status, refusal.outcome, reason, refusal.retry_after);
    }

    /// Ends tracking: the response broke off.
    pub(in crate::direct) fn finish_broken(mut self, reason: Reason) {
        self.finish(Level::Warn, 0, Outcome::Unknown, Some(reason), None);
    }

    fn finish(
        &mut self,
        level: Level,
        status: u16,
        outcome: Outcome,
        reason: Option<Reason>,
        retry_after: Option<Duration>,
    ) {
        self.is_open = false;
        self.meter.in_flight(-1);
        self.meter.ended(outcome, reason);
        let event = Event::Ended {
            id: self.id.to_str().unwrap_or_default(),
            status,
            outcome: outcome.as_str(),
            reason: reason.map_or("", Reason::as_str),
            attempts: self.attempts,
            first_ms: self.first_byte_after.map(millis),
            took_ms: millis(self.arrival.elapsed()),
            retry_after_ms: retry_after.map(millis),
        };
        self.log.write(level, &event);
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.is_open {
            self.finish(Level::Warn, 0, Outcome::Unknown, Some(Reason::CallerGone), None);
        }
    }
}
