use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use super::BodyError;

/// A body that is held in memory as a whole.
#[derive(Debug)]
pub struct WholeBody(Full<Bytes>);

impl From<Bytes> for WholeBody {
    fn from(bytes: Bytes) -> Self {
        Self(Full::new(bytes))
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.0).poll_frame(cx).map_err(|never| match never {})
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}
