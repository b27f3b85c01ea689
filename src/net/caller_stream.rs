use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};
use tokio_util::sync::WaitForCancellationFutureOwned;

use super::connection_limit::ConnectionSlot;
use super::connection_turn::ConnectionTurn;
use crate::memory::{CallerWait, MemoryBudget};

/// Time between two looks at a connection whose bytes nobody reads.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum times for which a caller is waited for.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerTimes {
    /// From the first byte of a head to its end, not limited here if absent.
    pub(super) head: Option<Duration>,
    /// While it does not take what is written.
    pub(super) write: Duration,
}

/// A TCP connection of a caller. Ends with an error if the caller does not end a head in time, or
/// does not take what is written while others need the memory.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: Arc<TcpStream>,
    slot: ConnectionSlot,
    memory: MemoryBudget,
    times: CallerTimes,
    head: PartialHead,
    blocked: Option<BlockedWrite>,
}

/// Watches a connection for its end by the peer.
#[derive(Debug)]
pub(super) struct PeerWatch(Arc<TcpStream>);

/// The head of a request that has begun to arrive.
#[derive(Debug, Default)]
struct PartialHead {
    /// Number of requests before it, `None` if none has begun to arrive.
    after: Option<u64>,
    deadline: Option<Pin<Box<Sleep>>>,
}

/// Bytes that the caller does not take.
#[derive(Debug)]
struct BlockedWrite {
    wait: CallerWait,
    displaced: Pin<Box<WaitForCancellationFutureOwned>>,
    deadline: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Wraps a connection.
    pub(super) fn new(
        stream: TcpStream,
        slot: ConnectionSlot,
        memory: MemoryBudget,
        times: CallerTimes,
    ) -> (Self, PeerWatch) {
        let stream = Arc::new(stream);
        let watch = PeerWatch(Arc::clone(&stream));
        let head = PartialHead::default();
        (Self { stream, slot, memory, times, head, blocked: None }, watch)
    }

    /// Waits for the first byte, and returns whether one has arrived.
    pub(super) async fn has_bytes(&self) -> bool {
        matches!(self.stream.peek(&mut [0]).await, Ok(1))
    }

    fn poll_send(
        &mut self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.stream.poll_write_ready(cx)?.is_pending() {
                ready!(self.poll_blocked(cx));
                self.slot.record_late();
                return Poll::Ready(Err(ErrorKind::TimedOut.into()));
            }
            match send(&self.stream) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                result => {
                    if let (Some(blocked), Ok(sent)) = (&mut self.blocked, &result) {
                        blocked.moved(*sent, self.times.write);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }

    /// Completes when the caller is no longer waited for to take what is written.
    fn poll_blocked(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.slot.turn().set_blocked(true);
        let Self { blocked, memory, times, .. } = self;
        let blocked = blocked.get_or_insert_with(|| BlockedWrite::new(memory, times.write));
        if blocked.displaced.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        blocked.deadline.as_mut().poll(cx)
    }
}

impl BlockedWrite {
    fn new(memory: &MemoryBudget, max_time: Duration) -> Self {
        let wait = memory.wait_for_caller();
        let displaced = Box::pin(wait.displaced());
        Self { wait, displaced, deadline: Box::pin(sleep(max_time)) }
    }

    fn moved(&mut self, bytes: usize, max_time: Duration) {
        self.wait.moved(bytes);
        self.deadline.as_mut().reset(Instant::now() + max_time);
    }
}

impl PartialHead {
    /// Records that bytes have arrived.
    fn record_read(&mut self, turn: &ConnectionTurn) {
        if self.after.is_none() {
            self.after = turn.begun_if_idle();
        }
    }

    /// Completes when the head takes too long. Called when all that has arrived was handled.
    fn poll_late(
        &mut self,
        cx: &mut Context<'_>,
        turn: &ConnectionTurn,
        max_time: Duration,
    ) -> Poll<()> {
        if self.after.is_none() || self.after != turn.begun_if_idle() {
            *self = Self::default();
            return Poll::Pending;
        }
        let deadline = self.deadline.get_or_insert_with(|| Box::pin(sleep(max_time)));
        deadline.as_mut().poll(cx)
    }
}

impl PeerWatch {
    /// Waits until the peer has closed the connection, also if bytes before that are unread. The
    /// HTTP library does not look for the end of a connection while it has bytes of a next request.
    pub(super) async fn closed(self) {
        loop {
            match self.0.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(UNREAD_CHECK_INTERVAL).await,
                _ => return,
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.stream.poll_read_ready(cx)?.is_pending() {
                let Some(max_time) = this.times.head else { return Poll::Pending };
                ready!(this.head.poll_late(cx, this.slot.turn(), max_time));
                this.slot.record_late();
                return Poll::Ready(Err(ErrorKind::TimedOut.into()));
            }
            match this.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    this.head.record_read(this.slot.turn());
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called once all that was to be written is with the kernel.
    fn poll_flush(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.blocked.take().is_some() {
            self.slot.turn().set_blocked(false);
        }
        Poll::Ready(Ok(()))
    }

    /// Does nothing: the connection closes when it is dropped, which follows at once.
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
