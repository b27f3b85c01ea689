use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::mpsc;

use super::BodyError;

/// Maximum number of pieces that wait for a slow reader.
const CAPACITY: usize = 8;

enum Piece {
    Data(Bytes),
    End,
    Fail(BodyError),
}

/// A body that another task writes. It ends in an error unless the writer closes it with
/// [`BodySender::close`].
#[derive(Debug)]
pub struct ChannelBody(mpsc::Receiver<Piece>);

/// The writing end of a [`ChannelBody`].
#[derive(Debug)]
pub struct BodySender(mpsc::Sender<Piece>);

impl std::fmt::Debug for Piece {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("Piece")
    }
}

impl ChannelBody {
    /// Makes a body and its writing end.
    pub fn new() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        (BodySender(sender), Self(receiver))
    }
}

impl From<Bytes> for ChannelBody {
    /// Makes a complete body.
    fn from(data: Bytes) -> Self {
        let (sender, body) = Self::new();
        for piece in [Piece::Data(data), Piece::End] {
            // The channel is empty and holds both.
            sender.0.try_send(piece).ok();
        }
        body
    }
}

impl BodySender {
    /// Writes a piece, and returns whether the body still has a reader.
    pub async fn send(&self, data: Bytes) -> bool {
        self.0.send(Piece::Data(data)).await.is_ok()
    }

    /// Waits until the reader drops the body.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Ends the body as complete.
    pub async fn close(self) {
        self.0.send(Piece::End).await.ok();
    }

    /// Ends the body with an error, so that the reader knows that it is incomplete.
    pub async fn fail(self, err: BodyError) {
        self.0.send(Piece::Fail(err)).await.ok();
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(match ready!(self.0.poll_recv(cx)) {
            Some(Piece::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Piece::End) => None,
            Some(Piece::Fail(err)) => Some(Err(err)),
            None => Some(Err(BodyError::Abandoned)),
        })
    }
}
