use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{BodyError, WholeBody};

/// Body of an answer: known as a whole, or a stream that is written as it comes.
#[derive(Debug)]
pub enum AnswerBody<S> {
    /// Known as a whole.
    Whole(WholeBody),
    /// As it comes.
    Stream(S),
}

impl<S> From<Bytes> for AnswerBody<S> {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes.into())
    }
}

impl<S> Body for AnswerBody<S>
where
    S: Body<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}
