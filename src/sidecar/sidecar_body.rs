use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::relay::Relay;
use crate::net::{BodyError, WholeBody};

/// Body of a sidecar's answers.
#[derive(Debug)]
pub enum SidecarBody {
    /// Known as a whole.
    Whole(WholeBody),
    /// As the upstream writes it.
    Relay(Box<Relay>),
}

impl From<Bytes> for SidecarBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes.into())
    }
}

impl Body for SidecarBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Relay(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relay(body) => body.size_hint(),
        }
    }
}
