use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Builder, Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::ExchangeConnector;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of HTTP/2 keep-alive pings, and maximum wait for the answer to one.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// An HTTP client whose request bodies are held in memory.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// An HTTP client whose connections are reset if a request on them is given up on.
pub type ExchangeClient = Client<ExchangeConnector, Full<Bytes>>;

/// Makes a client that pools HTTP/2 connections to sidecars.
pub fn h2_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
        .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .http2_keep_alive_interval(KEEP_ALIVE)
        .http2_keep_alive_timeout(KEEP_ALIVE)
        .retry_canceled_requests(false)
        .build(connector())
}

/// Makes a client that pools HTTP/1.1 connections.
pub fn h1_client() -> HttpClient {
    h1_builder().build(connector())
}

/// Makes a client that pools HTTP/1.1 connections to an upstream, and resets those whose request is
/// given up on.
pub fn exchange_client() -> ExchangeClient {
    h1_builder().build(ExchangeConnector::default())
}

fn h1_builder() -> Builder {
    let mut builder = Client::builder(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false);
    builder
}

pub(super) fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

/// Whether a request certainly did not reach the peer's handler.
///
/// True if no connection could be made, if the connection closed before the request was written,
/// or if the peer refused the stream before reading it, as HTTP/2 defines for `REFUSED_STREAM`.
pub fn is_not_sent(err: &ClientError) -> bool {
    let canceled = find_cause::<hyper::Error>(err).is_some_and(hyper::Error::is_canceled);
    let refused = find_cause::<h2::Error>(err)
        .is_some_and(|h2| h2.is_remote() && h2.reason() == Some(h2::Reason::REFUSED_STREAM));
    err.is_connect() || canceled || refused
}

/// Returns the first cause of the given type in an error's chain of sources.
fn find_cause<E: Error + 'static>(err: &ClientError) -> Option<&E> {
    let mut inner = err.source();
    while let Some(err) = inner {
        if let Some(cause) = err.downcast_ref() {
            return Some(cause);
        }
        inner = err.source();
    }
    None
}
