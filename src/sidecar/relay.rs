use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

use super::in_flight::InFlightGuard;
use super::{Permit, Upstream};
use crate::net::{BodyError, ExchangeState};

/// Last event of a complete stream in the chat format.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Bytes kept from the end of a stream: the last event with its line ends.
const TAIL_BYTES: usize = DONE_EVENT.len() + 4;

/// A response body that is relayed from the upstream to the entry. It holds the request's slot, and
/// ends in an error if the upstream's connection breaks, a chat stream ends without its last event,
/// or the deadline passes.
#[derive(Debug)]
pub struct Relay {
    body: Incoming,
    permit: Option<Permit>,
    source: RelaySource,
    deadline: Pin<Box<Sleep>>,
    is_chat_stream: bool,
    /// Last bytes of a chat stream.
    tail: Vec<u8>,
    /// Data frames relayed, each counted as one token.
    tokens: u64,
}

/// What a relay holds of the upstream that its body comes from.
#[derive(Debug)]
pub(super) struct RelaySource {
    pub(super) upstream: Upstream,
    /// State of the connection to the upstream.
    pub(super) exchange: ExchangeState,
    pub(super) _guard: InFlightGuard,
}

impl Relay {
    /// Relays a body. A chat stream must end with the chat format's last event.
    pub(super) fn new(
        body: Incoming,
        permit: Permit,
        source: RelaySource,
        deadline: Instant,
        is_chat_stream: bool,
    ) -> Self {
        Self {
            body,
            permit: Some(permit),
            source,
            deadline: Box::pin(sleep_until(deadline)),
            is_chat_stream,
            tail: Vec::new(),
            tokens: 0,
        }
    }

    /// Counts a frame and keeps the end of a chat stream.
    fn record(&mut self, data: &[u8]) {
        self.tokens += 1;
        if !self.is_chat_stream {
            return;
        }
        if data.len() >= TAIL_BYTES {
            self.tail.clear();
            self.tail.extend_from_slice(&data[data.len() - TAIL_BYTES..]);
            return;
        }
        self.tail.extend_from_slice(data);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    fn is_complete(&self) -> bool {
        !self.is_chat_stream || self.tail.trim_ascii_end().ends_with(DONE_EVENT)
    }

    /// Handles the end of the upstream's body.
    fn finish(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        self.source.exchange.complete();
        if !self.is_complete() {
            self.source.upstream.report_broken();
            return Some(Err(BodyError::Truncated));
        }
        if let Some(permit) = self.permit.take() {
            permit.complete(self.tokens as f64);
        }
        None
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_pending() {
            ready!(self.deadline.as_mut().poll(cx));
            return Poll::Ready(Some(Err(BodyError::Deadline)));
        }
        Poll::Ready(match ready!(polled) {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.record(data);
                }
                Some(Ok(frame))
            }
            Some(Err(err)) => {
                self.source.upstream.report_broken();
                Some(Err(err.into()))
            }
            None => self.finish(),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
