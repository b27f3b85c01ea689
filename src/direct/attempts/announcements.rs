use http::StatusCode;
use http::response::Parts;
use tokio::time::Instant;

use crate::direct::attempts::requested_pause;
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::Dispatcher;
use crate::direct::event::Event;
use crate::direct::{NamedLimit, Upstream};
use crate::event_log::Level;

/// Value of the header by which an upstream says that it drains.
const DRAINING: &str = "1";

impl Dispatcher {
    /// Records what an upstream says of itself in the head of a response: its limit, that it
    /// drains, and that it wants a pause.
    pub(in crate::direct) fn hear(
        &self,
        request: &CheckedRequest,
        upstream: &Upstream,
        head: &Parts,
    ) {
        self.hear_limit(upstream, head);
        self.hear_draining(request, upstream, head);
        self.hear_pause(request, upstream, head);
    }

    /// Records what a response says of the upstream's limit.
    fn hear_limit(&self, upstream: &Upstream, head: &Parts) {
        let named = NamedLimit::read(&head.headers, &self.header_names.limit);
        if let Some(change) = self.limits.hear(&upstream.listed, named, Instant::now()) {
            self.log.write(Level::Info, &Event::limit(&change, "response"));
            self.meter.limited_upstreams(self.limits.len());
        }
    }

    /// Drains an upstream that says in its response that it does. A misdirected request was answered
    /// by another one, which speaks for itself only.
    fn hear_draining(&self, request: &CheckedRequest, upstream: &Upstream, head: &Parts) {
        let values = head.headers.get_all(&self.header_names.draining);
        let drains = values.iter().any(|value| value == DRAINING);
        if !drains || head.status == StatusCode::MISDIRECTED_REQUEST || upstream.is_draining() {
            return;
        }
        upstream.drain();
        self.log_draining(request, upstream);
    }

    /// Leaves an upstream alone for the time that its refusal names.
    fn hear_pause(&self, request: &CheckedRequest, upstream: &Upstream, head: &Parts) {
        if let Some(pause) = requested_pause(head) {
            upstream.pause(pause, Instant::now());
            self.log_paused(request, upstream, pause);
        }
    }
}
