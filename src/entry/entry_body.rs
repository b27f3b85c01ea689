use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::pass::Pass;
use crate::net::{BodyError, ChannelBody, WholeBody};

/// Body of an entry's answers.
#[derive(Debug)]
pub enum EntryBody {
    /// Known as a whole.
    Whole(WholeBody),
    /// As the sidecar sends it.
    Pass(Box<Pass>),
    /// Put together by a task from one or more attempts.
    Spliced(ChannelBody),
}

impl From<Bytes> for EntryBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes.into())
    }
}

impl Body for EntryBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Pass(body) => Pin::new(body.as_mut()).poll_frame(cx),
            Self::Spliced(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Pass(body) => body.size_hint(),
            Self::Spliced(_) => SizeHint::default(),
        }
    }
}
