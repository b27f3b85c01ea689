use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Longest wait for a new connection; the failure domains are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest head of an answer, and the most of a body that is read ahead.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Why a request got no answer on a connection.
#[derive(Debug)]
#[derive(Display, Error)]
pub(super) enum SendError {
    /// the request was not written
    NotSent(Box<Request<Full<Bytes>>>),
    /// the connection broke after the request was written: {0}
    Lost(hyper::Error),
}

/// A connection to an upstream that carries one request at a time. It closes when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
    /// How long the upstream keeps it when idle, if it said so.
    keep_alive: Option<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects.
    pub(super) async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let builder = Builder::new().max_buf_size(MAX_BUFFER_BYTES).clone();
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // How the connection ended is told to whoever waits for an answer.
            conn.await.ok();
        });
        let task = task.abort_handle();
        Ok(Self { sender, task, idle_since: Instant::now(), keep_alive: None })
    }

    /// Whether it is open and has not been idle for too long.
    pub(super) fn is_usable(&self, max_idle: Duration) -> bool {
        let idle = self.idle_since.elapsed();
        // The upstream's own limit may end a moment sooner on its clock.
        let kept_open = self.keep_alive.is_none_or(|kept_open| idle < kept_open.mul_f64(0.8));
        self.sender.is_ready() && idle < max_idle && kept_open
    }

    /// Notes that it is idle from now on, and for how long the upstream keeps it.
    pub(super) fn into_idle(mut self, keep_alive: Option<Duration>) -> Self {
        self.idle_since = Instant::now();
        self.keep_alive = keep_alive.or(self.keep_alive);
        self
    }

    /// Waits until the exchange before is over on both sides, and tells whether it can go on.
    pub(super) async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut err| match err.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Lost(err.into_error()),
        })
    }
}
