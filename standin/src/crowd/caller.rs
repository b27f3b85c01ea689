use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Receive buffer of callers that don't read, so that little of an answer waits at their side.
const UNREAD_BUFFER_BYTES: u32 = 4 << 10;
/// Size of the pieces that a body is written in, unless it is sent in chunks of another size.
const PIECE_BYTES: usize = 64 << 10;
/// What bodies and heads consist of. A call in JSON may begin with it.
const FILLER: u8 = b'[';
/// Time between two attempts to connect.
const CONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of attempts to connect.
const MAX_CONNECTS: usize = 5;

/// How each caller of a crowd behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Announces a body and sends all of it but the last byte.
    ShortBody(usize),
    /// Sends this many bytes in chunks of this size, without the last chunk.
    ShortChunks(usize, usize),
    /// Sends chunks of this size for as long as it can.
    EndlessChunks(usize),
    /// Announces a body of this size and sends it for as long as it can.
    HugeBody(usize),
    /// Sends this many bytes of a head that does not end.
    HalfHead(usize),
    /// Sends whole requests, this many, and reads no answer.
    Unread(usize),
    /// Sends a whole request with a body of this size, and reads no answer.
    UnreadEcho(usize),
    /// Sends nothing.
    Silent,
}

impl Behavior {
    /// Returns whether answers are read.
    const fn reads(&self) -> bool {
        !matches!(self, Self::Unread(_) | Self::UnreadEcho(_))
    }
}

/// A request of a crowd.
#[derive(Clone, Debug)]
pub struct CrowdRequest {
    /// Request line and headers, each with its line end, without those that frame the body.
    pub head: String,
    /// How it is sent.
    pub behavior: Behavior,
}

/// What all callers of a crowd have done.
#[derive(Clone, Debug)]
pub(super) struct Activity {
    last: Arc<Mutex<Instant>>,
    sent_bytes: Arc<AtomicU64>,
}

impl Default for Activity {
    fn default() -> Self {
        Self { last: Arc::new(Mutex::new(Instant::now())), sent_bytes: Arc::default() }
    }
}

impl Activity {
    /// Returns for how long no caller has made progress.
    pub(super) fn quiet_for(&self) -> Duration {
        self.last.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    pub(super) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    fn record(&self, sent: usize) {
        self.sent_bytes.fetch_add(sent as u64, Ordering::Relaxed);
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }
}

/// One caller.
#[derive(Debug)]
pub(super) struct CrowdCaller {
    pub(super) addr: SocketAddr,
    pub(super) request: CrowdRequest,
    pub(super) activity: Activity,
}

impl CrowdCaller {
    /// Calls, and keeps the connection until the other side closes it.
    pub(super) async fn run(self) {
        let Some(stream) = self.connect().await else { return };
        self.activity.record(0);
        let (mut receiver, mut sender) = stream.into_split();
        let reads = self.request.behavior.reads();
        let sending = async {
            self.send(&mut sender).await.ok();
            std::future::pending::<()>().await;
        };
        if !reads {
            return sending.await;
        }
        let mut answer = vec![0; PIECE_BYTES];
        let receiving = async { while matches!(receiver.read(&mut answer).await, Ok(1..)) {} };
        tokio::select! {
            () = sending => {}
            () = receiving => {}
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        for _ in 0..MAX_CONNECTS {
            let socket = TcpSocket::new_v4().ok()?;
            if !self.request.behavior.reads() {
                socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES).ok()?;
            }
            if let Ok(stream) = socket.connect(self.addr).await {
                return Some(stream);
            }
            sleep(CONNECT_INTERVAL).await;
        }
        None
    }

    async fn send(&self, sender: &mut (impl AsyncWriteExt + Unpin)) -> io::Result<()> {
        let head = &self.request.head;
        match self.request.behavior {
            Behavior::Silent => Ok(()),
            Behavior::HalfHead(bytes) => {
                self.write(sender, head.as_bytes()).await?;
                self.write(sender, b"x-filler: ").await?;
                self.write_filler(sender, bytes.saturating_sub(head.len()), PIECE_BYTES).await
            }
            Behavior::ShortBody(bytes) => {
                self.write(sender, format!("{head}content-length: {bytes}\r\n\r\n").as_bytes())
                    .await?;
                self.write_filler(sender, bytes - 1, PIECE_BYTES).await
            }
            Behavior::HugeBody(bytes) => {
                self.write(sender, format!("{head}content-length: {bytes}\r\n\r\n").as_bytes())
                    .await?;
                self.write_filler(sender, bytes, PIECE_BYTES).await
            }
            Behavior::ShortChunks(bytes, chunk) => self.write_chunks(sender, bytes, chunk).await,
            Behavior::EndlessChunks(chunk) => self.write_chunks(sender, usize::MAX, chunk).await,
            Behavior::UnreadEcho(bytes) => {
                self.write(sender, format!("{head}content-length: {bytes}\r\n\r\n").as_bytes())
                    .await?;
                self.write_filler(sender, bytes, PIECE_BYTES).await
            }
            Behavior::Unread(requests) => {
                let request = format!("{head}content-length: 0\r\n\r\n");
                for _ in 0..requests {
                    self.write(sender, request.as_bytes()).await?;
                }
                Ok(())
            }
        }
    }

    async fn write_chunks(
        &self,
        sender: &mut (impl AsyncWriteExt + Unpin),
        bytes: usize,
        chunk: usize,
    ) -> io::Result<()> {
        let head = format!("{}transfer-encoding: chunked\r\n\r\n", self.request.head);
        self.write(sender, head.as_bytes()).await?;
        let mut text = format!("{chunk:x}\r\n").into_bytes();
        text.resize(text.len() + chunk, FILLER);
        text.extend_from_slice(b"\r\n");
        // Tiny chunks are written many at a time.
        let count = (PIECE_BYTES / text.len()).max(1);
        let text = text.repeat(count);
        let mut sent = 0;
        while sent < bytes {
            self.write(sender, &text).await?;
            sent += chunk * count;
        }
        Ok(())
    }

    async fn write_filler(
        &self,
        sender: &mut (impl AsyncWriteExt + Unpin),
        mut bytes: usize,
        piece: usize,
    ) -> io::Result<()> {
        let filler = vec![FILLER; piece];
        while bytes > 0 {
            let next = bytes.min(piece);
            self.write(sender, &filler[..next]).await?;
            bytes -= next;
        }
        Ok(())
    }

    async fn write(
        &self,
        sender: &mut (impl AsyncWriteExt + Unpin),
        mut bytes: &[u8],
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            let sent = sender.write(bytes).await?;
            self.activity.record(sent);
            bytes = &bytes[sent..];
        }
        Ok(())
    }
}
