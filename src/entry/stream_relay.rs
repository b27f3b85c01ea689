use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use spdlog::info;
use tokio::time::sleep;

use super::dispatch::StartedResponse;
use super::{CheckedRequest, Dispatcher, LimiterGuard, Policy};
use crate::memory::{MemoryBudget, MemoryLease};
use crate::metrics::{Event, Meter};
use crate::net::{BodyError, BodySender, EventSplitter, LAST_EVENT_ID};

/// Maximum number of times that one stream is resumed.
const MAX_RESUMES: u32 = 3;
/// Time within which sidecars report a crash.
const CRASH_REPORT_TIME: Duration = Duration::from_millis(250);

/// Relays a stream of server-sent events to the caller, whole events only, and resumes it at
/// another upstream when it breaks off, if the service allows that.
#[derive(Debug)]
pub(super) struct StreamRelay<C> {
    pub(super) dispatcher: Arc<Dispatcher<C>>,
    pub(super) request: CheckedRequest,
    pub(super) meter: Arc<Meter>,
    pub(super) _guard: LimiterGuard,
    pub(super) memory: MemoryBudget,
    /// What is held of an event that is not complete yet.
    pub(super) partial: MemoryLease,
    /// Splits the stream at the ends of events.
    pub(super) splitter: EventSplitter,
    /// Number of attempts whose stream broke off.
    pub(super) broken_attempts: u32,
}

/// How the relay of one attempt's body ended.
enum RelayEnd {
    Complete,
    Broken(BodyError),
    ClientGone,
}

impl<C: Policy> StreamRelay<C> {
    /// Relays the stream until it is complete, can't be resumed, or the caller is gone.
    pub(super) async fn run(mut self, mut started: StartedResponse, sender: BodySender) {
        loop {
            let ended = tokio::select! {
                ended = self.forward(started.answer.into_body(), &sender) => ended,
                () = sender.closed() => return,
            };
            drop(started.in_flight);
            match ended {
                RelayEnd::ClientGone => return,
                RelayEnd::Complete => {
                    self.dispatcher.record_completed(&self.request.crash_keys);
                    return sender.close().await;
                }
                RelayEnd::Broken(err) => match self.resume().await {
                    Some(next) => started = next,
                    None => return sender.fail(err).await,
                },
            }
        }
    }

    /// Forwards the body of one attempt.
    async fn forward(&mut self, mut body: Incoming, sender: &BodySender) -> RelayEnd {
        self.splitter.drop_partial();
        while let Some(frame) = body.frame().await {
            let data = match frame {
                Ok(frame) => frame.into_data().unwrap_or_default(),
                Err(err) => return RelayEnd::Broken(err.into()),
            };
            let events = match self.splitter.push(data) {
                Ok(Some(events)) => events,
                Ok(None) => {
                    self.partial.resize(self.splitter.partial_bytes()).await;
                    continue;
                }
                Err(err) => return RelayEnd::Broken(err),
            };
            self.partial.resize(self.splitter.partial_bytes()).await;
            if !sender.send(self.memory.hold_events(events).await).await {
                return RelayEnd::ClientGone;
            }
        }
        if self.splitter.is_at_boundary() {
            RelayEnd::Complete
        } else {
            RelayEnd::Broken(BodyError::Truncated)
        }
    }

    /// Dispatches the request again with the id of the last event. Returns `None` if the stream
    /// can't be resumed.
    async fn resume(&mut self) -> Option<StartedResponse> {
        self.broken_attempts += 1;
        if !self.request.service.resume || self.broken_attempts > MAX_RESUMES {
            return None;
        }
        if self.broken_attempts > 1 {
            // If this request crashes its upstreams, the reports arrive before the next attempt.
            sleep(CRASH_REPORT_TIME).await;
        }
        if let Some(last) = self.splitter.last_id() {
            let value = HeaderValue::from_bytes(last).ok()?;
            self.request.head.headers.insert(LAST_EVENT_ID, value);
        }
        let started = self.dispatcher.dispatch(&mut self.request).await.ok()?;
        if started.answer.status() != StatusCode::OK {
            return None;
        }
        info!("entry: resumed a broken stream");
        self.meter.count(Event::Resume);
        Some(started)
    }
}
