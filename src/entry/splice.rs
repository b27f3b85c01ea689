use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use spdlog::info;
use tokio::time::sleep;

use super::dispatch::Sent;
use super::{Dispatcher, LimiterGuard, Order, Policy};
use crate::metrics::{Event, Meter};
use crate::net::{BodyError, BodySender, LAST_EVENT_ID};

/// Attempts at one stream after the first.
const MAX_RESUMES: u32 = 3;
/// Time in which sidecars tell of a crash.
const CRASH_NOTICE_TIME: Duration = Duration::from_millis(250);
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Passes a stream of server-sent events on, whole events only, and takes it up again at another
/// upstream when it breaks off.
#[derive(Debug)]
pub(super) struct Splice<C> {
    pub(super) dispatcher: Arc<Dispatcher<C>>,
    pub(super) order: Order,
    pub(super) meter: Arc<Meter>,
    pub(super) _limit: LimiterGuard,
    /// Bytes of an event that is not whole yet.
    pub(super) partial: BytesMut,
    /// Id of the last event that was passed on.
    pub(super) last: Option<Bytes>,
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
        self.partial.clear();
        while let Some(frame) = body.frame().await {
            let data = match frame {
                Ok(frame) => frame.into_data().unwrap_or_default(),
                Err(err) => return Passed::Broken(err.into()),
            };
            let Some(events) = self.whole_events(data) else {
                continue;
            };
            self.note_last(&events);
            if !sender.send(events).await {
                return Passed::ReaderGone;
            }
        }
        if self.partial.is_empty() { Passed::Whole } else { Passed::Broken(BodyError::Short) }
    }

    /// Takes in bytes and gives back those that end with a whole event.
    fn whole_events(&mut self, data: Bytes) -> Option<Bytes> {
        if self.partial.is_empty() && data.ends_with(EVENT_END) {
            return Some(data);
        }
        self.partial.extend_from_slice(&data);
        let end = rfind(&self.partial, EVENT_END)? + EVENT_END.len();
        Some(self.partial.split_to(end).freeze())
    }

    fn note_last(&mut self, events: &Bytes) {
        let ids = events.split(|byte| *byte == b'\n').rev();
        let id = ids.into_iter().find_map(|line| line.strip_prefix(ID_FIELD));
        if let Some(id) = id {
            self.last = Some(events.slice_ref(id.trim_ascii()));
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
        if let Some(last) = &self.last {
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

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}
