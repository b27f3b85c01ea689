use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::connection_turn::RequestGuard;

/// Body of a response, whose request counts as in flight until the body is dropped.
#[derive(Debug)]
pub(super) struct GuardedBody<B> {
    body: Pin<Box<B>>,
    _guard: Arc<RequestGuard>,
}

impl<B> GuardedBody<B> {
    pub(super) fn new(body: B, guard: Arc<RequestGuard>) -> Self {
        Self { body: Box::pin(body), _guard: guard }
    }
}

impl<B: Body<Data = Bytes>> Body for GuardedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
