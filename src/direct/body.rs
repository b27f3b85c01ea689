use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::net::{BodyError, ChannelBody, WholeBody};

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum DirectBody {
    /// An answer that is known as a whole.
    Whole(WholeBody),
    /// A stream of events as they arrive.
    Stream(ChannelBody),
}

impl From<Bytes> for DirectBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes.into())
    }
}

impl Body for DirectBody {
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
