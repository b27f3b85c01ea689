use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::BodyError;
use super::watched_stream::{PeerWatch, WatchedStream};

/// Maximum wait for the first byte and for complete headers, and the interval of HTTP/2 keep-alive
/// pings.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADER_BYTES: u32 = 16 << 10;
const READ_BUFFER_BYTES: usize = 64 << 10;
const MAX_STREAMS: u32 = 4_096;
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Body of the responses.
    type Body: Body<Data = Bytes, Error = BodyError> + Send + 'static;

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
    /// Maximum time that a connection may be idle or take to send the head of a request.
    pub idle_time: Duration,
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
}

/// Accepts HTTP/1.1 and HTTP/2 connections until stopped, and serves each in a task of its own.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: Shutdown,
    tasks: TaskTracker,
) {
    let builder = Arc::new(builder());
    let graceful = stop.graceful.clone();
    let on_connection = move |stream| {
        serve_connection(stream, Arc::clone(&builder), Arc::clone(&handler), graceful.clone())
    };
    accept(listener, on_connection, stop, tasks).await;
}

/// Accepts HTTP/1.1 connections until stopped, and serves each in a task of its own.
pub async fn serve_h1<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: H1Limits,
    stop: Shutdown,
    tasks: TaskTracker,
) {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head_bytes);
    let graceful = stop.graceful.clone();
    let on_connection = move |stream| {
        serve_h1_connection(stream, builder.clone(), Arc::clone(&handler), graceful.clone())
    };
    accept(listener, on_connection, stop, tasks).await;
}

async fn accept<F>(
    listener: TcpListener,
    on_connection: impl Fn(TcpStream) -> F,
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
        tasks.spawn(stop.abrupt.clone().run_until_cancelled_owned(on_connection(stream)));
    }
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
    stream: TcpStream,
    builder: Arc<Builder<TokioExecutor>>,
    handler: Arc<H>,
    stop: CancellationToken,
) {
    stream.set_nodelay(true).ok();
    let mut byte = [0];
    let received = tokio::select! {
        peeked = timeout(HEADER_TIMEOUT, stream.peek(&mut byte)) => matches!(peeked, Ok(Ok(1))),
        () = stop.cancelled() => false,
    };
    if !received {
        return;
    }
    let (stream, peer) = WatchedStream::new(stream);
    let conn = builder.serve_connection(TokioIo::new(stream), service(handler));
    serve_until_ended(conn, peer, stop).await;
}

async fn serve_h1_connection<H: Handler>(
    stream: TcpStream,
    builder: http1::Builder,
    handler: Arc<H>,
    stop: CancellationToken,
) {
    stream.set_nodelay(true).ok();
    let (stream, peer) = WatchedStream::new(stream);
    let conn = builder.serve_connection(TokioIo::new(stream), service(handler));
    serve_until_ended(conn, peer, stop).await;
}

/// Makes the service that passes a connection's requests to a handler.
fn service<H: Handler>(
    handler: Arc<H>,
) -> impl Service<
    Request<Incoming>,
    Response = Response<H::Body>,
    Error = Infallible,
    Future: Future<Output = Result<Response<H::Body>, Infallible>> + Send,
> {
    service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok(handler.handle(request).await) }
    })
}

/// Serves a connection until it ends or its peer closes it. Once stopped, the connection ends after
/// its requests in flight.
async fn serve_until_ended(
    conn: impl GracefulConnection,
    peer: PeerWatch,
    stop: CancellationToken,
) {
    let mut conn = std::pin::pin!(conn);
    let mut peer_closed = std::pin::pin!(peer.closed());
    tokio::select! {
        _ = conn.as_mut() => return,
        () = peer_closed.as_mut() => return,
        () = stop.cancelled() => conn.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = conn => {}
        () = peer_closed => {}
    }
}
