use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{BodyError, WholeBody};

/// A body of one of two types.
#[derive(Debug)]
pub enum EitherBody<L, R> {
    /// A body of the first type.
    Left(L),
    /// A body of the second type.
    Right(R),
}

/// Body of a response: either held in memory as a whole or streamed.
pub type AnswerBody<S> = EitherBody<WholeBody, S>;

impl<S> AnswerBody<S> {
    /// Makes a body that is held in memory as a whole.
    pub fn whole(body: impl Into<WholeBody>) -> Self {
        Self::Left(body.into())
    }

    /// Makes a body that is streamed.
    pub const fn stream(body: S) -> Self {
        Self::Right(body)
    }
}

impl<S> From<Bytes> for AnswerBody<S> {
    fn from(bytes: Bytes) -> Self {
        Self::whole(bytes)
    }
}

impl<L, R> Body for EitherBody<L, R>
where
    L: Body<Data = Bytes, Error = BodyError> + Unpin,
    R: Body<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Left(body) => Pin::new(body).poll_frame(cx),
            Self::Right(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Left(body) => body.size_hint(),
            Self::Right(body) => body.size_hint(),
        }
    }
}
