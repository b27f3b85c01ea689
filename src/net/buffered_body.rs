use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::BodyError;
use crate::memory::{CallerWait, MemoryBudget};

/// Memory that a piece takes beside its bytes.
const PIECE_BYTES: usize = 128;

/// A body that is read from its source as fast as there is memory for it, not as slowly as its
/// reader takes it, so that a reader that stalls holds up nobody. If others need the memory, such a
/// reader loses what is left.
#[derive(Debug)]
pub struct BufferedBody {
    shared: Arc<Shared>,
    /// Bytes that are still to be read, if it is known.
    left: Option<u64>,
}

#[derive(Debug)]
struct Shared {
    memory: MemoryBudget,
    state: Mutex<State>,
    /// Notified when the reader has taken all or is gone.
    read: Notify,
    displaced: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    pieces: VecDeque<Bytes>,
    /// How the source ended, once it has.
    end: Option<Result<(), BodyError>>,
    /// The wait for the reader, while there are pieces.
    wait: Option<CallerWait>,
    waker: Option<Waker>,
    is_gone: bool,
}

impl BufferedBody {
    /// Starts a task that reads a body until it ends or its reader is gone.
    ///
    /// ```
    /// # use ebonyusher::memory::MemoryBudget;
    /// # use ebonyusher::net::{BufferedBody, WholeBody};
    /// # use http_body_util::BodyExt;
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let source = WholeBody::from(bytes::Bytes::from("hello"));
    /// let body = BufferedBody::start(source, &MemoryBudget::new(1 << 20));
    /// assert_eq!(body.collect().await.unwrap().to_bytes(), "hello");
    /// # });
    /// ```
    pub fn start<B>(source: B, memory: &MemoryBudget) -> Self
    where
        B: Body<Data = Bytes, Error = BodyError> + Send + 'static,
    {
        let left = source.size_hint().exact();
        let shared = Arc::new(Shared {
            memory: memory.clone(),
            state: Mutex::default(),
            read: Notify::new(),
            displaced: CancellationToken::new(),
        });
        tokio::spawn(Arc::clone(&shared).fill(source));
        Self { shared, left }
    }
}

impl Shared {
    /// Reads the source, and waits until its reader has taken all.
    async fn fill<B>(self: Arc<Self>, source: B)
    where
        B: Body<Data = Bytes, Error = BodyError> + Send + 'static,
    {
        tokio::select! {
            () = self.displaced.cancelled() => return self.abandon(),
            () = self.until_gone() => return,
            end = self.read_all(source) => self.lock().end(end),
        }
        tokio::select! {
            () = self.displaced.cancelled() => self.abandon(),
            () = self.until_taken() => {}
        }
    }

    async fn read_all<B>(&self, source: B) -> Result<(), BodyError>
    where
        B: Body<Data = Bytes, Error = BodyError>,
    {
        let mut source = Box::pin(source);
        while let Some(frame) = source.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            let mut lease = self.memory.bulk_lease();
            lease.grow_when_free(data.len() + PIECE_BYTES).await;
            let mut state = self.lock();
            state.wait.get_or_insert_with(|| self.memory.wait_with(self.displaced.clone()));
            state.pieces.push_back(lease.hold(data));
            state.wake();
        }
        Ok(())
    }

    /// Drops what is left, for others.
    fn abandon(&self) {
        let mut state = self.lock();
        state.pieces.clear();
        state.end(Err(BodyError::Abandoned));
    }

    async fn until_gone(&self) {
        while !self.lock().is_gone {
            self.read.notified().await;
        }
    }

    async fn until_taken(&self) {
        let is_taken = || {
            let state = self.lock();
            state.is_gone || state.pieces.is_empty()
        };
        while !is_taken() {
            self.read.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn end(&mut self, end: Result<(), BodyError>) {
        self.end = Some(end);
        self.wake();
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Takes the next piece.
    fn take(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        if let Some(wait) = &mut self.wait {
            wait.moved(piece.len());
        }
        if self.pieces.is_empty() {
            self.wait = None;
        }
        Some(piece)
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let mut state = this.shared.lock();
        if let Some(piece) = state.take() {
            this.shared.read.notify_one();
            this.left = this.left.map(|left| left.saturating_sub(piece.len() as u64));
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        match state.end.take() {
            Some(Ok(())) => {
                state.end = Some(Ok(()));
                Poll::Ready(None)
            }
            Some(Err(err)) => {
                state.end = Some(Err(BodyError::Abandoned));
                Poll::Ready(Some(Err(err)))
            }
            None => {
                state.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.is_gone = true;
        state.pieces.clear();
        state.wait = None;
        drop(state);
        self.shared.read.notify_one();
    }
}
