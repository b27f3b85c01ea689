use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use spdlog::info;
use tokio::time::sleep;

use super::dispatch::StartedResponse;
use super::{CheckedRequest, Dispatcher, LimiterGuard, Policy};
use crate::metrics::{Event, Meter};
use crate::net::{BodyError, BodySender, EventSplitter, LAST_EVENT_ID};

/// Attempts at one stream after the first.
const MAX_RESUMES: u32 = 3;
/// Time in which sidecars tell of a crash.
const CRASH_REPORT_TIME: Duration = Duration::from_millis(250);

/// Passes a stream of server-sent events on, whole events only, and takes it up again at another
/// upstream when it breaks off.
#[derive(Debug)]
pub(super) struct StreamRelay<C> {
    pub(super) dispatcher: Arc<Dispatcher<C>>,
    pub(super) request: CheckedRequest,
    pub(super) meter: Arc<Meter>,
    pub(super) _guard: LimiterGuard,
    /// What has been passed on, cut at the ends of events.
    pub(super) cutter: EventSplitter,
    /// Attempts that broke off.
    pub(super) broken_attempts: u32,
}

/// How the passing on of one attempt's body ended.
enum RelayEnd {
    Complete,
    Broken(BodyError),
    ClientGone,
}

impl<C: Policy> StreamRelay<C> {
    /// Passes the stream on until it is whole, can't be taken up again, or nobody reads.
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
                    self.dispatcher.record_completed(self.request.fingerprint);
                    return sender.close().await;
                }
                RelayEnd::Broken(err) => match self.resume().await {
                    Some(next) => started = next,
                    None => return sender.fail(err).await,
                },
            }
        }
    }

    async fn forward(&mut self, mut body: Incoming, sender: &BodySender) -> RelayEnd {
        self.cutter.drop_partial();
        while let Some(frame) = body.frame().await {
            let data = match frame {
                Ok(frame) => frame.into_data().unwrap_or_default(),
                Err(err) => return RelayEnd::Broken(err.into()),
            };
            let Some(events) = self.cutter.push(data) else {
                continue;
            };
            if !sender.send(events).await {
                return RelayEnd::ClientGone;
            }
        }
        if self.cutter.is_at_boundary() {
            RelayEnd::Complete
        } else {
            RelayEnd::Broken(BodyError::Truncated)
        }
    }

    async fn resume(&mut self) -> Option<StartedResponse> {
        self.broken_attempts += 1;
        if self.broken_attempts > MAX_RESUMES {
            return None;
        }
        if self.broken_attempts > 1 {
            // If this request crashes its upstreams, that is known before the next one is tried.
            sleep(CRASH_REPORT_TIME).await;
        }
        if let Some(last) = self.cutter.last_id() {
            let value = HeaderValue::from_bytes(last).ok()?;
            self.request.head.headers.insert(LAST_EVENT_ID, value);
        }
        let started = self.dispatcher.dispatch(&mut self.request).await.ok()?;
        if started.answer.status() != StatusCode::OK {
            return None;
        }
        info!("entry: a broken stream is taken up again");
        self.meter.count(Event::Resume);
        Some(started)
    }
}
