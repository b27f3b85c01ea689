use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONNECTION, HOST};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::TaskTracker;

use super::checked_request::{CheckedRequest, answer_time, strip_headers};
use super::dispatcher::{Dispatcher, UpstreamResponse};
use super::{Account, DirectBody, DirectMeter, PromptParts, Route, Routing};
use crate::capacity::RequestSize;
use crate::direct::attempts::AttemptHistory;
use crate::direct::feeds::CurrentRouting;
use crate::direct::responses::{EventTiming, Relay, RequestTracker, refusal_response};
use crate::entry::{CrashKeys, fingerprint};
use crate::id::AttemptId;
use crate::net::{
    BodyLimits, ChannelBody, CollectError, EventSplitter, Handler, RequestBody, RequestEnd,
    header_millis, header_str,
};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::units::BootTime;

/// Retry-after time when only this entry can't serve a caller: the next connection reaches another
/// entry.
const ENTRY_RETRY_AFTER: Duration = Duration::from_millis(30);
/// Retry-after time when this entry holds as much for its callers as it may. Who makes no progress
/// has given way by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-after time when no upstream accepts a request. A group that has lost a rank takes about
/// two seconds to restart and form again.
const UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(1_700);
/// Maximum jitter added to these times, as a share of them, so that callers refused together do not
/// return together.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// Maximum time for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const BEARER: &str = "Bearer ";

/// Handles the requests of callers.
#[derive(Debug)]
pub(super) struct DirectHandler {
    pub(super) routing: CurrentRouting,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) meter: Arc<DirectMeter>,
    pub(super) tasks: TaskTracker,
}

impl Handler for DirectHandler {
    type Body = DirectBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<DirectBody> {
        let mut response = self.respond(request).await;
        if self.dispatcher.draining.has_begun() {
            // The caller's next request goes to another entry.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl DirectHandler {
    async fn respond(&self, request: Request<Incoming>) -> Response<DirectBody> {
        let (head, body) = request.into_parts();
        let id = attempt_id(&head.headers, &self.dispatcher);
        let mut tracker = RequestTracker::start(&self.dispatcher.log, &self.meter, id.clone());
        let request = match self.read_request(head, body, id, &tracker).await {
            Ok(request) => request,
            Err(refusal) => return finish_refused(tracker, refusal),
        };
        request.state.retry_budget.earn(BootTime::now());
        let mut history = AttemptHistory::default();
        let dispatch = self.dispatcher.dispatch(&request, &mut history, None);
        let result = timeout_at(request.give_up_at(None), dispatch).await;
        let result = result.unwrap_or_else(|_| Err(timeout_refusal(&request, &history)));
        tracker.set_attempts(history.attempts);
        match result {
            Ok(UpstreamResponse::Complete(response)) => {
                tracker.finish_answered(response.status().as_u16());
                forward(response)
            }
            Ok(UpstreamResponse::Stream(stream)) => {
                let (sender, body) = ChannelBody::new();
                let mut response = Response::new(DirectBody::stream(body));
                *response.status_mut() = stream.begun.head.status;
                response.headers_mut().clone_from(&stream.begun.head.headers);
                strip_headers(response.headers_mut());
                let dispatcher = Arc::clone(&self.dispatcher);
                let splitter = EventSplitter::default();
                let event_timing = EventTiming::default();
                let partial = dispatcher.memory.lease();
                let relay = Relay {
                    dispatcher,
                    request,
                    history,
                    tracker,
                    splitter,
                    event_timing,
                    partial,
                };
                self.tasks.spawn(relay.run(stream, sender));
                response
            }
            Err(refusal) => finish_refused(tracker, with_retry_after(refusal)),
        }
    }

    /// Checks a request and reads its body.
    async fn read_request(
        &self,
        head: Parts,
        body: Incoming,
        id: HeaderValue,
        tracker: &RequestTracker,
    ) -> Result<CheckedRequest, Refusal> {
        let Some(routing) = self.routing.get() else {
            return Err(with_retry_after(Refusal::not_run(Reason::NoSettings)));
        };
        let host = header_str(&head.headers, &HOST).or(head.uri.host()).unwrap_or_default();
        let route = self.find_route(&routing, host, head.uri.path())?;
        let account = self.find_account(&routing, &route, &head.headers)?;
        let left = header_millis(&head.headers, &self.dispatcher.header_names.deadline);
        let arrival = tracker.arrival();
        let left = left.map(answer_time);
        let deadline = arrival + left.map_or(route.timeout, |left| left.min(route.timeout));
        let limits = BodyLimits { max_bytes: routing.limits.body_bytes, max_time: BODY_TIMEOUT };
        let end = RequestEnd { deadline, may_rerun: route.delivery.may_rerun() };
        let Dispatcher { draining, memory, .. } = self.dispatcher.as_ref();
        let body = RequestBody::new(body, &head.extensions);
        let body = draining.collect(body, limits, end, memory).await;
        let body = body.map_err(|err| match err {
            err @ (CollectError::Draining | CollectError::NoMemory) => {
                with_retry_after(Refusal::not_run(err.into()))
            }
            err => Refusal::not_run(err.into()),
        })?;
        let service = route.pick_service(rand::random()).and_then(|name| routing.service(name));
        let service = service.ok_or(with_retry_after(Refusal::not_run(Reason::NoUpstream)))?;
        let fingerprint = fingerprint(
            account.as_ref().map_or("", |account| &account.name),
            head.uri.path_and_query().map_or("", PathAndQuery::as_str),
            &body,
        );
        let prompt = PromptParts::read(&head.headers, &self.dispatcher.header_names.prompt);
        let size = RequestSize::read(&head.headers, &self.dispatcher.header_names);
        let mut headers = head.headers;
        strip_headers(&mut headers);
        Ok(CheckedRequest {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            crash_keys: CrashKeys::new(fingerprint, &service.name, prompt.ids()),
            prompt,
            size,
            is_learned: self.dispatcher.capacity_switch.is_on_for(&routing),
            account,
            state: self.dispatcher.service_state(&service.name),
            service: Arc::clone(service),
            route,
            revision: routing.revision,
            arrival,
            deadline,
        })
    }

    fn find_route(&self, routing: &Routing, host: &str, path: &str) -> Result<Arc<Route>, Refusal> {
        match routing.route(host, path) {
            Some(route) => Ok(Arc::clone(route)),
            // Settings that may be stale don't prove that a route does not exist.
            None if !self.is_fresh() => {
                Err(with_retry_after(Refusal::not_run(Reason::StaleSettings)))
            }
            None => Err(Refusal::not_run(Reason::NoRoute)),
        }
    }

    /// Returns the client account of a request, or `None` if the request needs none.
    fn find_account(
        &self,
        routing: &Routing,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<Arc<Account>>, Refusal> {
        if route.anonymous || !routing.needs_key() {
            return Ok(None);
        }
        if !self.is_fresh() {
            return Err(with_retry_after(Refusal::not_run(Reason::StaleSettings)));
        }
        let key = header_str(headers, &AUTHORIZATION).and_then(|text| text.strip_prefix(BEARER));
        let account = key.and_then(|key| routing.account(key));
        account.cloned().map(Some).ok_or(Refusal::not_run(Reason::BadKey))
    }

    fn is_fresh(&self) -> bool {
        self.dispatcher.freshness.is_fresh(BootTime::now())
    }
}

/// Returns the attempt id from the caller, or a generated one.
fn attempt_id(headers: &HeaderMap, dispatcher: &Dispatcher) -> HeaderValue {
    let generated = || HeaderValue::from_str(&AttemptId::random().to_string());
    let given = headers.get(&dispatcher.header_names.attempt).cloned();
    given.or_else(|| generated().ok()).unwrap_or(HeaderValue::from_static("0"))
}

/// Converts a complete response of an upstream into the response to the caller.
fn forward(response: Response<Bytes>) -> Response<DirectBody> {
    let (mut head, body) = response.into_parts();
    strip_headers(&mut head.headers);
    Response::from_parts(head, DirectBody::whole(body))
}

/// Returns the refusal for a request that got no response in time. An attempt that was cut off may
/// have run.
fn timeout_refusal(request: &CheckedRequest, history: &AttemptHistory) -> Refusal {
    let reason = request.timeout_reason(Instant::now());
    if history.reached_upstream() { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
}

/// Adds a retry-after time to the refusal of a request that has not run.
fn with_retry_after(refusal: Refusal) -> Refusal {
    if refusal.outcome != Outcome::NotRun || refusal.retry_after.is_some() {
        return refusal;
    }
    let wait = match refusal.reason {
        Reason::Overload | Reason::UpstreamDown | Reason::NoUpstream | Reason::Evacuated => {
            UPSTREAM_RETRY_AFTER
        }
        Reason::NoMemory => MEMORY_RETRY_AFTER,
        _ => ENTRY_RETRY_AFTER,
    };
    let jitter = rand::random_range(1.0..1.0 + RETRY_AFTER_JITTER);
    refusal.retry_after(wait.mul_f64(jitter))
}

fn finish_refused(tracker: RequestTracker, refusal: Refusal) -> Response<DirectBody> {
    let response = refusal_response(&refusal);
    tracker.finish_refused(&refusal, response.status().as_u16());
    response
}
