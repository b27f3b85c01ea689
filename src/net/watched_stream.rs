use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time between two looks at a connection whose bytes nobody reads.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A TCP connection whose end by the peer can be awaited beside the reading of it.
#[derive(Debug)]
pub struct WatchedStream(Arc<TcpStream>);

/// Watches a connection for its end by the peer.
#[derive(Debug)]
pub struct PeerWatch(Arc<TcpStream>);

impl WatchedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> (Self, PeerWatch) {
        let stream = Arc::new(stream);
        (Self(Arc::clone(&stream)), PeerWatch(stream))
    }
}

impl PeerWatch {
    /// Waits until the peer has closed the connection, also if bytes before that are unread. The
    /// HTTP library does not look for the end of a connection while it has bytes of a next request.
    pub async fn closed(self) {
        loop {
            match self.0.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(UNREAD_CHECK_INTERVAL).await,
                _ => return,
            }
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl WatchedStream {
    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match send(&self.0) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing: the connection closes when it is dropped, which follows at once.
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
