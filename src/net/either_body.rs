use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{BodyError, WholeBody};

/// A body that is one of two kinds.
#[derive(Debug)]
pub enum EitherBody<L, R> {
    /// Of the one kind.
    Left(L),
    /// Of the other.
    Right(R),
}

/// Body of an answer: known as a whole, or a stream that is written as it comes.
pub type AnswerBody<S> = EitherBody<WholeBody, S>;

impl<S> AnswerBody<S> {
    /// A body that is known as a whole.
    pub fn whole(body: impl Into<WholeBody>) -> Self {
        Self::Left(body.into())
    }

    /// A body that comes as a stream.
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
