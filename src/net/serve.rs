use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::caller_service::{CallerService, ConnectionError};
use super::caller_stream::{CallerStream, CallerTimes, PeerWatch};
use super::connection_limit::ConnectionSlot;
use super::{BodyError, CallerBounds, ConnectionLimit};

/// Maximum wait for the first byte and for complete headers, and the interval of HTTP/2 keep-alive
/// pings.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADER_BYTES: u32 = 16 << 10;
/// Maximum size of a head of HTTP/1.1, and of the part of a body that is read ahead.
const READ_BUFFER_BYTES: usize = 32 << 10;
const MAX_STREAMS: u32 = 4_096;
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum time for which a caller may take nothing of what is written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(90);
/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Body of the responses.
    type Body: Body<Data = Bytes, Error = BodyError> + From<Bytes> + Send + 'static;

    /// Handles one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Tokens that stop a listener and its connections.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Closes the listener at once and each connection after its requests in flight.
    pub graceful: CancellationToken,
    /// Closes the listener and all connections at once.
    pub abrupt: CancellationToken,
}

/// Limits for the connections of a listener that serves HTTP/1.1 only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct H1Limits {
    /// Maximum time that a connection may be idle.
    pub idle_time: Duration,
    /// Maximum time from the first byte of the head of a request to its end.
    pub head_time: Duration,
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
}

/// Returns the limits of a new connection.
pub trait CurrentLimits: Send + 'static {
    /// The limits in force.
    fn current(&self) -> H1Limits;
}

impl CurrentLimits for H1Limits {
    fn current(&self) -> H1Limits {
        *self
    }
}

/// Accepts HTTP/1.1 and HTTP/2 connections until stopped, and serves each in a task of its own.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    bounds: CallerBounds,
    stop: Shutdown,
    tasks: TaskTracker,
) {
    let builder = Arc::new(builder());
    let (memory, graceful) = (bounds.memory, stop.graceful.clone());
    let on_connection = move |stream, slot: ConnectionSlot| {
        let service = CallerService::new(&handler, &memory, &slot);
        let times = CallerTimes { head: None, write: WRITE_TIMEOUT };
        let (stream, peer) = CallerStream::new(stream, slot, memory.clone(), times);
        serve_connection(stream, peer, Arc::clone(&builder), service, graceful.clone())
    };
    accept(listener, on_connection, bounds.connections, stop, tasks).await;
}

/// Accepts HTTP/1.1 connections until stopped, and serves each in a task of its own.
pub async fn serve_h1<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: impl CurrentLimits,
    bounds: CallerBounds,
    stop: Shutdown,
    tasks: TaskTracker,
) {
    let (memory, graceful) = (bounds.memory, stop.graceful.clone());
    let on_connection = move |stream, slot: ConnectionSlot| {
        let limits = limits.current();
        let service = CallerService::new(&handler, &memory, &slot);
        let times = CallerTimes { head: Some(limits.head_time), write: limits.idle_time };
        let (stream, peer) = CallerStream::new(stream, slot, memory.clone(), times);
        let conn = h1_builder(&limits).serve_connection(TokioIo::new(stream), service.hyper());
        serve_until_ended(conn, peer, service, graceful.clone())
    };
    accept(listener, on_connection, bounds.connections, stop, tasks).await;
}

async fn accept<F>(
    listener: TcpListener,
    on_connection: impl Fn(TcpStream, ConnectionSlot) -> F,
    connections: ConnectionLimit,
    stop: Shutdown,
    tasks: TaskTracker,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.graceful.cancelled() => return,
            () = stop.abrupt.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        if let Some(slot) = connections.admit() {
            let serving = on_connection(stream, slot);
            tasks.spawn(stop.abrupt.clone().run_until_cancelled_owned(serving));
        }
    }
}

fn h1_builder(limits: &H1Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head_bytes);
    builder
}

fn builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(HEADER_TIMEOUT);
    builder
}

async fn serve_connection<H: Handler>(
    stream: CallerStream,
    peer: PeerWatch,
    builder: Arc<Builder<TokioExecutor>>,
    service: CallerService<H>,
    stop: CancellationToken,
) {
    let received = tokio::select! {
        received = timeout(HEADER_TIMEOUT, stream.has_bytes()) => received.unwrap_or(false),
        () = service.turn.displaced() => false,
        () = stop.cancelled() => false,
    };
    if !received {
        return;
    }
    let conn = builder.serve_connection_with_upgrades(TokioIo::new(stream), service.hyper());
    serve_until_ended(conn, peer, service, stop).await;
}

/// Serves a connection until it ends, its peer closes it or it gives way to another one. Once
/// stopped, the connection ends after its requests in flight.
async fn serve_until_ended<H, C>(
    conn: C,
    peer: PeerWatch,
    service: CallerService<H>,
    stop: CancellationToken,
) where
    C: GracefulConnection<Error: Into<ConnectionError>>,
{
    let mut conn = std::pin::pin!(conn);
    let mut closed = std::pin::pin!(async {
        tokio::select! {
            () = peer.closed() => {}
            () = service.turn.displaced() => {}
        }
    });
    tokio::select! {
        ended = conn.as_mut() => return service.record_end(&ended.map_err(Into::into)),
        () = closed.as_mut() => return,
        () = stop.cancelled() => conn.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        ended = conn => service.record_end(&ended.map_err(Into::into)),
        () = closed => {}
    }
}
