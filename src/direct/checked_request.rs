use std::sync::Arc;

use bytes::Bytes;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use tokio::time::Instant;

use super::service_state::ServiceState;
use super::{Account, HeaderNames, Route, Service, Upstream};
use crate::net::LAST_EVENT_ID;

/// Headers that concern only one connection (RFC 9110, 7.6.1), and the caller's key.
const NOT_FORWARDED: [HeaderName; 9] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// The least urgent of the numbers that upstreams know.
const MAX_URGENCY: u8 = 9;
/// Obsolete, but still in use.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A caller's request, checked and read whole.
#[derive(Clone, Debug)]
pub(super) struct CheckedRequest {
    /// Id of the caller's attempt.
    pub(super) id: HeaderValue,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers that are passed on.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Fingerprint, the same when the caller sends the request again.
    pub(super) fingerprint: u64,
    pub(super) account: Option<Arc<Account>>,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    /// What this entry keeps of the service.
    pub(super) state: Arc<ServiceState>,
    /// Revision of the settings that route and service are taken from.
    pub(super) revision: u64,
    pub(super) deadline: Instant,
}

impl CheckedRequest {
    /// Rank of the request, 0 is the most urgent.
    fn priority(&self) -> u8 {
        let account_priority = self.account.as_ref().and_then(|account| account.priority);
        account_priority.unwrap_or(self.route.priority)
    }

    /// The request as it goes to an upstream; `last_event` is the last event that the caller has
    /// had of a stream.
    pub(super) fn build_http_request(
        &self,
        upstream: &Upstream,
        header_names: &HeaderNames,
        last_event: Option<&Bytes>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let time_left = self.deadline.saturating_duration_since(Instant::now()).as_millis();
        let time_left = u64::try_from(time_left).unwrap_or(u64::MAX);
        headers.insert(header_names.attempt.clone(), self.id.clone());
        headers.insert(header_names.deadline.clone(), HeaderValue::from(time_left));
        if let Ok(id) = HeaderValue::from_str(&upstream.listed.id) {
            headers.insert(header_names.upstream.clone(), id);
        }
        headers.insert(
            header_names.urgency.clone(),
            HeaderValue::from(u16::from(self.priority().min(MAX_URGENCY))),
        );
        let account = self.account.as_ref().map(|account| HeaderValue::from_str(&account.name));
        match account {
            Some(Ok(name)) => headers.insert(header_names.account.clone(), name),
            _ => headers.remove(&header_names.account),
        };
        if let Some(Ok(last)) = last_event.map(|last| HeaderValue::from_bytes(last)) {
            headers.insert(LAST_EVENT_ID, last);
        }
        request
    }
}

/// Takes off the headers that must not be passed on.
pub(super) fn strip_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<HeaderName> = named
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&NOT_FORWARDED).chain([&KEEP_ALIVE]) {
        headers.remove(name);
    }
}
