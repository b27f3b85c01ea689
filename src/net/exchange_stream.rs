use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Tells whether a request was sent on a connection whose response is not complete. Clones share
/// one state.
#[derive(Clone, Debug, Default)]
pub struct ExchangeState(Arc<AtomicBool>);

impl ExchangeState {
    /// Records that a request is sent.
    ///
    /// ```
    /// # use ebonyusher::net::ExchangeState;
    /// let exchange = ExchangeState::default();
    /// exchange.begin();
    /// assert!(exchange.is_open());
    /// exchange.complete();
    /// assert!(!exchange.is_open());
    /// ```
    pub fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Records that the response is complete.
    pub fn complete(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    /// Returns whether a response is outstanding.
    pub fn is_open(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A TCP connection for requests, which is reset if it is dropped while a response is outstanding.
///
/// After a usual close the peer still reads and runs a request that it has not read yet, and may
/// take the end of its input for no more than that. A reset takes the request back.
#[derive(Debug)]
pub struct ExchangeStream {
    stream: TcpStream,
    exchange: ExchangeState,
}

impl ExchangeStream {
    /// Wraps a connection on which nothing was sent yet. What is written begins an exchange.
    pub const fn new(stream: TcpStream, exchange: ExchangeState) -> Self {
        Self { stream, exchange }
    }

    /// Returns whether a response is outstanding.
    pub const fn exchange(&self) -> &ExchangeState {
        &self.exchange
    }
}

impl Drop for ExchangeStream {
    fn drop(&mut self) {
        if self.exchange.is_open() {
            // If this fails, the connection has ended already.
            self.stream.set_zero_linger().ok();
        }
    }
}

impl AsyncRead for ExchangeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ExchangeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.exchange.begin();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.exchange.begin();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.exchange.is_open() {
            // The end of the stream would reach the peer before the reset does.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
