use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, Request, Response, Uri, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::crash_watch::CrashWatch;
use super::in_flight::{InFlight, InFlightGuard};
use super::signals::Signals;
use super::{RequestMetadata, SendError};
use crate::metrics::Meter;
use crate::net::{
    ACCOUNT, ATTEMPT, COST, DEADLINE_MS, ExchangeClient, FINGERPRINT, LINK_KEY, PROMPT_PARTS,
    REPEAT, SERVICE, SUSPECT, WEIGHT, exchange_client, is_not_sent,
};

/// Client of the upstream beside a sidecar.
#[derive(Clone, Debug)]
pub struct Upstream {
    client: ExchangeClient,
    addr: SocketAddr,
    in_flight: InFlight,
    crash_watch: Arc<CrashWatch>,
}

impl Upstream {
    /// Makes a client of the upstream at an address.
    pub fn new(addr: SocketAddr, signals: &Signals, meter: Arc<Meter>) -> Self {
        let in_flight = InFlight::default();
        let crash_watch = CrashWatch::new(addr, in_flight.clone(), signals.clone(), meter);
        Self { client: exchange_client(), addr, in_flight, crash_watch: Arc::new(crash_watch) }
    }

    /// Watches the upstream's health until the process ends.
    pub async fn watch(self) {
        self.crash_watch.run().await;
    }

    /// Adds a request to the list of those in flight.
    pub fn track(&self, metadata: &RequestMetadata) -> InFlightGuard {
        self.in_flight.add(metadata.attempt, metadata.crash_keys.clone())
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if the upstream certainly has not received the request,
    /// [`SendError::Broken`] if the connection broke, [`SendError::Timeout`] at the deadline.
    pub async fn send(
        &self,
        head: &Parts,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        let request = self.request(head, body).ok_or(SendError::NotSent)?;
        match timeout_at(deadline, self.client.request(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(err)) if is_not_sent(&err) => {
                // An idle pooled connection that the upstream closed says nothing about its health.
                if err.is_connect() {
                    self.crash_watch.report_refused();
                }
                Err(SendError::NotSent)
            }
            Ok(Err(_)) => {
                self.report_broken();
                Err(SendError::Broken)
            }
            Err(_) => Err(SendError::Timeout),
        }
    }

    /// Reports that a request's connection broke.
    pub fn report_broken(&self) {
        self.crash_watch.report_broken();
    }

    fn request(&self, head: &Parts, body: Bytes) -> Option<Request<Full<Bytes>>> {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri: Uri = format!("http://{}{path}", self.addr).parse().ok()?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = uri;
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = upstream_headers(&head.headers);
        Some(request)
    }
}

/// Returns the headers for the upstream: those of the request without the listed headers that the
/// entry adds for the sidecar and those that belong to the connection.
fn upstream_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    let entry_headers = [
        LINK_KEY,
        ACCOUNT,
        SERVICE,
        REPEAT,
        COST,
        WEIGHT,
        FINGERPRINT,
        PROMPT_PARTS,
        SUSPECT,
        ATTEMPT,
        DEADLINE_MS,
    ];
    for name in entry_headers {
        headers.remove(name);
    }
    for name in [HOST, CONNECTION, TRANSFER_ENCODING] {
        headers.remove(name);
    }
    headers
}
