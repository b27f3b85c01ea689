use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use spdlog::info;
use tokio::time::sleep;

use super::dispatch::Sent;
use super::{Dispatcher, LimiterGuard, Order, Policy};
use crate::metrics::{Event, Meter};
use crate::net::{BodyError, BodySender, EventSplitter, LAST_EVENT_ID};

/// Attempts at one stream after the first.
const MAX_RESUMES: u32 = 3;
/// Time in which sidecars tell of a crash.
const CRASH_NOTICE_TIME: Duration = Duration::from_millis(250);

/// Passes a stream of server-sent events on, whole events only, and takes it up again at another
/// upstream when it breaks off.
#[derive(Debug)]
pub(super) struct Splice<C> {
    pub(super) dispatcher: Arc<Dispatcher<C>>,
    pub(super) order: Order,
    pub(super) meter: Arc<Meter>,
    pub(super) _limit: LimiterGuard,
    /// What has been passed on, cut at the ends of events.
    pub(super) cutter: EventSplitter,
    /// Attempts that broke off.
    pub(super) breaks: u32,
}

/// How the passing on of one attempt's body ended.
enum Passed {
    Whole,
    Broken(BodyError),
    ReaderGone,
}

impl<C: Policy> Splice<C> {
    /// Passes the stream on until it is whole, can't be taken up again, or nobody reads.
    pub(super) async fn run(mut self, mut sent: Sent, sender: BodySender) {
        loop {
            let ended = tokio::select! {
                ended = self.pass(sent.answer.into_body(), &sender) => ended,
                () = sender.closed() => return,
            };
            drop(sent.in_flight);
            match ended {
                Passed::ReaderGone => return,
                Passed::Whole => {
                    self.dispatcher.ran_whole(self.order.print);
                    return sender.close().await;
                }
                Passed::Broken(err) => match self.resume().await {
                    Some(next) => sent = next,
                    None => return sender.fail(err).await,
                },
            }
        }
    }

    async fn pass(&mut self, mut body: Incoming, sender: &BodySender) -> Passed {
        self.cutter.drop_partial();
        while let Some(frame) = body.frame().await {
            let data = match frame {
                Ok(frame) => frame.into_data().unwrap_or_default(),
                Err(err) => return Passed::Broken(err.into()),
            };
            let Some(events) = self.cutter.push(data) else {
                continue;
            };
            if !sender.send(events).await {
                return Passed::ReaderGone;
            }
        }
        if self.cutter.is_at_boundary() {
            Passed::Whole
        } else {
            Passed::Broken(BodyError::Truncated)
        }
    }

    async fn resume(&mut self) -> Option<Sent> {
        self.breaks += 1;
        if self.breaks > MAX_RESUMES {
            return None;
        }
        if self.breaks > 1 {
            // If this request crashes its upstreams, that is known before the next one is tried.
            sleep(CRASH_NOTICE_TIME).await;
        }
        if let Some(last) = self.cutter.last_id() {
            let value = HeaderValue::from_bytes(last).ok()?;
            self.order.head.headers.insert(LAST_EVENT_ID, value);
        }
        let sent = self.dispatcher.dispatch(&mut self.order).await.ok()?;
        if sent.answer.status() != StatusCode::OK {
            return None;
        }
        info!("entry: a broken stream is taken up again");
        self.meter.count(Event::Resume);
        Some(sent)
    }
}
