use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Extensions;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::connection_turn::RequestGuard;

/// Body of a caller's request. While it is read or discarded, the request counts as in flight on its
/// connection.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    _guard: Option<Arc<RequestGuard>>,
}

impl RequestBody {
    /// Wraps a body; the extensions are those of its request.
    pub fn new(body: Incoming, extensions: &Extensions) -> Self {
        Self { body, _guard: extensions.get().cloned() }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
