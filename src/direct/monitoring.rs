use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::event::Event;
use super::{DirectMeter, Freshness, Roster};
use crate::direct::feeds::CurrentRouting;
use crate::event_log::{EventLog, Level};
use crate::net::{CallerBounds, Draining, Handler, WholeBody, text_answer};
use crate::units::BootTime;

/// Media type of the text format of OpenMetrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Responds on every path whether the process is ready for callers.
#[derive(Debug)]
pub(super) struct ReadinessHandler {
    pub(super) routing: CurrentRouting,
    pub(super) roster: Arc<Roster>,
    pub(super) freshness: Arc<Freshness>,
    pub(super) draining: Draining,
    /// Whether the last response was "ready"; changes are logged.
    pub(super) ready: AtomicBool,
    pub(super) log: EventLog,
}

impl ReadinessHandler {
    /// Returns why the process is not ready for callers, or `None` if it is.
    fn obstacle(&self) -> Option<&'static str> {
        if self.draining.has_begun() {
            Some("leaving")
        } else if self.routing.get().is_none() {
            Some("no settings")
        } else if self.roster.is_empty() {
            Some("no upstreams")
        } else if !self.freshness.is_fresh(BootTime::now()) {
            Some("stale settings")
        } else {
            None
        }
    }
}

impl Handler for ReadinessHandler {
    type Body = WholeBody;

    async fn handle(&self, _: Request<Incoming>) -> Response<WholeBody> {
        let obstacle = self.obstacle();
        let ready = obstacle.is_none();
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let event = Event::Readiness { ready, reason: obstacle.unwrap_or_default() };
            self.log.write(Level::Info, &event);
        }
        if ready {
            text_answer(StatusCode::OK, "ready\n")
        } else {
            text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}

/// Responds on every path with the metrics as text.
#[derive(Debug)]
pub(super) struct MetricsHandler {
    pub(super) meter: Arc<DirectMeter>,
    /// What bounds callers.
    pub(super) bounds: CallerBounds,
}

impl Handler for MetricsHandler {
    type Body = WholeBody;

    async fn handle(&self, _: Request<Incoming>) -> Response<WholeBody> {
        self.meter.pressure(&self.bounds.pressure());
        let mut answer = Response::new(WholeBody::from(Bytes::from(self.meter.text())));
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(OPENMETRICS));
        answer
    }
}
