use std::sync::Arc;

use http::HeaderValue;
use tokio::time::Instant;

use crate::direct::Upstream;
use crate::direct::event::Event;
use crate::event_log::{EventLog, Level};
use crate::units::millis;

/// An attempt whose exchange with the upstream is open. Dropping it logs that the entry abandoned
/// the exchange, because the caller left or the deadline passed.
#[derive(Debug)]
pub(in crate::direct) struct OpenAttempt {
    log: EventLog,
    id: HeaderValue,
    attempt: u32,
    upstream: Arc<Upstream>,
    started: Instant,
    is_open: bool,
}

impl OpenAttempt {
    /// Starts an attempt of the request with this id.
    pub(in crate::direct) fn start(
        log: &EventLog,
        id: &HeaderValue,
        attempt: u32,
        upstream: &Arc<Upstream>,
    ) -> Self {
        Self {
            log: log.clone(),
            id: id.clone(),
            attempt,
            upstream: Arc::clone(upstream),
            started: Instant::now(),
            is_open: true,
        }
    }

    /// Returns when the attempt started.
    pub(in crate::direct) const fn started(&self) -> Instant {
        self.started
    }

    /// Ends the attempt: the response is complete, or its failure is logged elsewhere.
    pub(in crate::direct) fn close(mut self) {
        self.is_open = false;
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let event = Event::Abandoned {
            id: self.id.to_str().unwrap_or_default(),
            attempt: self.attempt,
            upstream: &self.upstream.listed.id,
            took_ms: millis(self.started.elapsed()),
            silent_ms: self.upstream.silent_for().map(millis),
        };
        self.log.write(Level::Info, &event);
    }
}
