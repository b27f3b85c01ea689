use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::service_state::ServiceState;
use super::{Account, HeaderNames, LatencyTargets, PromptParts, Route, Service, Upstream};
use crate::admission::Offer;
use crate::capacity::RequestSize;
use crate::entry::CrashKeys;
use crate::net::{LAST_EVENT_ID, RequestEnd};
use crate::outcome::Reason;

/// Headers that are not forwarded: the hop-by-hop headers (RFC 9110, 7.6.1), the caller's API key,
/// and the content length, which the HTTP library sets where it is known.
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
/// Time before a caller disconnects at which it is told that its request has failed, so that the
/// answer still reaches it.
const ANSWER_LEAD: Duration = Duration::from_millis(50);
/// Maximum share of a caller's time that this lead takes.
const MAX_LEAD_SHARE: f64 = 0.25;
/// Maximum urgency value that upstreams know, which is the least urgent; 0 is the most urgent.
const MAX_URGENCY: u8 = 9;
/// Obsolete hop-by-hop header that is still in use.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A caller's request that has passed the checks, with its complete body.
#[derive(Clone, Debug)]
pub(super) struct CheckedRequest {
    /// Attempt id from the caller, or a generated one.
    pub(super) id: HeaderValue,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers that are forwarded.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Fingerprints that stay the same when the caller repeats the request.
    pub(super) crash_keys: CrashKeys,
    /// Parts of the prompt that other requests may share.
    pub(super) prompt: PromptParts,
    /// Sizes that the caller states.
    pub(super) size: RequestSize,
    /// Whether the speed and the capacity of upstreams are learned.
    pub(super) is_learned: bool,
    pub(super) account: Option<Arc<Account>>,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    /// State that this entry keeps for the service.
    pub(super) state: Arc<ServiceState>,
    /// Revision of the settings that the route and the service come from.
    pub(super) revision: u64,
    pub(super) arrival: Instant,
    /// When the caller must have the complete response.
    pub(super) deadline: Instant,
}

impl CheckedRequest {
    /// Returns the priority of the request; 0 is the most urgent.
    pub(super) fn priority(&self) -> u8 {
        let account_priority = self.account.as_ref().and_then(|account| account.priority);
        account_priority.unwrap_or(self.route.priority)
    }

    /// Returns what tells whether it ends in time.
    pub(super) fn end(&self) -> RequestEnd {
        RequestEnd { deadline: self.deadline, may_rerun: self.route.delivery.may_rerun() }
    }

    /// Returns what its admission depends on.
    pub(super) fn offer(&self) -> Offer {
        let targets =
            LatencyTargets { first_byte: self.route.first_byte_target, gap: self.route.gap_target };
        let account = self.account.as_ref().map(|account| xxh3_64(account.name.as_bytes()));
        Offer { priority: self.priority(), account, targets, work: 1.0, draw: rand::random() }
    }

    /// Returns when to give up if the caller of a stream gets no event after `last_event`, or after
    /// its request if that is `None`.
    pub(super) fn give_up_at(&self, last_event: Option<Instant>) -> Instant {
        let patience = self.route.patience.map(answer_time);
        let due = patience.map(|patience| last_event.unwrap_or(self.arrival) + patience);
        due.map_or(self.deadline, |due| due.min(self.deadline))
    }

    /// Returns why a request that is given up on now got no response in time.
    pub(super) fn timeout_reason(&self, now: Instant) -> Reason {
        if now < self.deadline { Reason::UpstreamTimeout } else { Reason::Deadline }
    }

    /// Builds the HTTP request for an upstream. `last_event` is the id of the last event of the
    /// stream that the caller has received.
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

/// Returns the time that is left for an answer to a caller that waits for `wait`.
pub(super) fn answer_time(wait: Duration) -> Duration {
    wait - ANSWER_LEAD.min(wait.mul_f64(MAX_LEAD_SHARE))
}

/// Removes the headers that must not be forwarded, also those that the Connection header names.
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
