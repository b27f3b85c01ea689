use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::net::{ExchangeState, ExchangeStream};

/// Time limit for a new connection. The latency between failure domains is a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of informational responses (RFC 9110, 15.2) before the response.
const MAX_INFORMATIONAL: u32 = 16;
/// Maximum size of a response head, and of the part of a body that is read ahead.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Why a request got no response on a connection.
#[derive(Debug)]
#[derive(Display, Error)]
pub(in crate::direct) enum SendError {
    /// the request was not written
    NotSent(Box<Request<Full<Bytes>>>),
    /// the connection broke after the request was written: {0}
    Lost(hyper::Error),
    /// the upstream sent one informational response after the other
    EndlessHead,
}

impl SendError {
    /// Returns whether the head of the response was larger than allowed.
    pub(in crate::direct) fn is_endless_head(&self) -> bool {
        match self {
            Self::NotSent(_) => false,
            Self::Lost(err) => err.is_parse_too_large(),
            Self::EndlessHead => true,
        }
    }
}

/// A connection to an upstream that carries one request at a time. Dropping it closes it, or resets
/// it if a response is outstanding.
#[derive(Debug)]
pub(in crate::direct) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    exchange: ExchangeState,
    idle_since: Instant,
    /// Keep-alive timeout of the upstream, if it announced one.
    keep_alive: Option<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    pub(in crate::direct) async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let builder = Builder::new().max_buf_size(MAX_BUFFER_BYTES).clone();
        let exchange = ExchangeState::default();
        let stream = ExchangeStream::new(stream, exchange.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // An error reaches the request that waits for a response.
            conn.await.ok();
        });
        let task = task.abort_handle();
        Ok(Self { sender, task, exchange, idle_since: Instant::now(), keep_alive: None })
    }

    /// Returns whether the connection is open and has not been idle for too long.
    pub(in crate::direct) fn is_usable(&self, max_idle: Duration) -> bool {
        let idle = self.idle_since.elapsed();
        // Leaves a margin, since the upstream's timeout may end slightly earlier on its clock.
        let kept_open = self.keep_alive.is_none_or(|timeout| idle < timeout.mul_f64(0.8));
        self.sender.is_ready() && idle < max_idle && kept_open
    }

    /// Marks the connection as idle from now on, and updates the upstream's keep-alive timeout.
    pub(in crate::direct) fn into_idle(mut self, keep_alive: Option<Duration>) -> Self {
        self.idle_since = Instant::now();
        self.keep_alive = keep_alive.or(self.keep_alive);
        self
    }

    /// Records that the response to the last request is complete.
    pub(in crate::direct) fn complete_exchange(&self) {
        self.exchange.complete();
    }

    /// Waits until the previous exchange has ended on both sides. Returns whether the connection
    /// can carry another request.
    pub(in crate::direct) async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the response head.
    pub(in crate::direct) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let (count, endless) = (AtomicU32::new(0), CancellationToken::new());
        let limit = endless.clone();
        on_informational(&mut request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
                limit.cancel();
            }
        });
        let response = tokio::select! {
            response = self.sender.try_send_request(request) => response,
            () = endless.cancelled() => return Err(SendError::EndlessHead),
        };
        response.map_err(|mut err| match err.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Lost(err.into_error()),
        })
    }
}
