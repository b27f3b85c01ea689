use std::sync::Arc;
use std::time::Duration;

use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::dispatch::StartedResponse;
use super::entry_count::EntryCount;
use super::forwarded_body::ForwardedBody;
use super::prompt_parts::prompt_parts;
use super::request_estimate::RequestEstimate;
use super::stream_relay::StreamRelay;
use super::{
    CheckedRequest, CrashKeys, Dispatcher, EntryBody, Limiter, LimiterGuard, Policy, fingerprint,
    look_up_key,
};
use crate::id::AttemptId;
use crate::memory::MemoryBudget;
use crate::metrics::{Event, Meter};
use crate::net::{
    BodyLimits, BufferedBody, ChannelBody, CollectError, DEADLINE_MS, Draining, EventSplitter,
    Handler, IDEMPOTENCY_KEY, RequestBody, RequestEnd, header_millis, header_str, json_answer,
    refusal_answer,
};
use crate::outcome::{Reason, Refusal};
use crate::platform::Table;
use crate::settings::{Caller, CurrentSettings, Kind, Repeat, Snapshot};

/// Path prefix for looking up the request of an idempotency key, followed by `service/key`.
const LOOKUP_PATH: &str = "/ebonyusher/requests/";
/// Maximum time limit that a caller may set for a request.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
/// Time limit for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a new entry should have its settings; callers are told to retry after it.
const SETTINGS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller may return that an entry refuses since it stops or has no memory left;
/// another entry answers, or those have given way who make no progress.
const ENTRY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
const BEARER: &str = "Bearer ";
/// Header that carries the API key if `authorization` has none.
const API_KEY: &str = "x-api-key";

/// Handles the requests of callers.
#[derive(Debug)]
pub struct EntryHandler<P, C> {
    pub(super) current: CurrentSettings,
    pub(super) platform: Arc<P>,
    pub(super) dispatcher: Arc<Dispatcher<C>>,
    pub(super) limiter: Limiter,
    pub(super) entry_count: Arc<EntryCount>,
    pub(super) memory: MemoryBudget,
    pub(super) meter: Arc<Meter>,
    pub(super) tasks: TaskTracker,
}

impl<P: Table, C: Policy> Handler for EntryHandler<P, C> {
    type Body = EntryBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<EntryBody> {
        self.meter.count(Event::Request);
        match self.respond(request).await {
            Ok(answer) => answer,
            Err(refusal) => {
                self.meter.count_refusal(refusal.reason);
                refusal_answer(&refusal)
            }
        }
    }
}

impl<P: Table, C: Policy> EntryHandler<P, C> {
    /// Authenticates, limits and checks a request, then forwards it or looks up an idempotency key.
    async fn respond(&self, request: Request<Incoming>) -> Result<Response<EntryBody>, Refusal> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let current = self.current.get();
        if current.revision == 0 {
            return Err(Refusal::not_run(Reason::NoSettings).retry_after(SETTINGS_RETRY_AFTER));
        }
        let caller = find_caller(&current, &head.headers)?;
        if let Some(rest) = head.uri.path().strip_prefix(LOOKUP_PATH) {
            return self.look_up_request(&caller, &head.method, rest).await;
        }
        let account = format!("{}/{}", caller.team, caller.name);
        let guard = self.limiter.admit(&account, caller.account, self.entry_count.get())?;
        let draining = self.dispatcher.draining();
        let reading = BodyReading { draining, memory: &self.memory, arrived };
        let request = check_request(head, body, &caller, account, reading).await?;
        self.forward(request, guard).await
    }

    /// Dispatches a request and returns the upstream's response.
    async fn forward(
        &self,
        mut request: CheckedRequest,
        guard: LimiterGuard,
    ) -> Result<Response<EntryBody>, Refusal> {
        let key = request.key.clone();
        let started = self.dispatcher.dispatch(&mut request).await?;
        self.meter.count(Event::Ran);
        let mut answer = if is_event_stream(&started.answer) {
            self.relay_stream(request, started, guard)
        } else {
            let (parts, body) = started.answer.into_parts();
            let suspects = Arc::clone(self.dispatcher.suspects());
            let forwarded =
                ForwardedBody::new(body, request.crash_keys, suspects, started.in_flight, guard);
            Response::from_parts(
                parts,
                EntryBody::stream(BufferedBody::start(forwarded, &self.memory)),
            )
        };
        if let Some(key) = key.and_then(|key| HeaderValue::from_str(&key).ok()) {
            answer.headers_mut().insert(IDEMPOTENCY_KEY, key);
        }
        Ok(answer)
    }

    /// Starts a task that relays an event stream, and returns the response that it feeds.
    fn relay_stream(
        &self,
        request: CheckedRequest,
        started: StartedResponse,
        guard: LimiterGuard,
    ) -> Response<EntryBody> {
        let (sender, body) = ChannelBody::new();
        let mut answer = Response::new(EntryBody::stream(BufferedBody::start(body, &self.memory)));
        *answer.status_mut() = started.answer.status();
        *answer.headers_mut() = started.answer.headers().clone();
        let relay = StreamRelay {
            dispatcher: Arc::clone(&self.dispatcher),
            request,
            meter: Arc::clone(&self.meter),
            _guard: guard,
            memory: self.memory.clone(),
            partial: self.memory.lease(),
            splitter: EventSplitter::default(),
            broken_attempts: 0,
        };
        self.tasks.spawn(relay.run(started, sender));
        answer
    }

    /// Answers a lookup of an idempotency key; `rest` is `service/key`.
    async fn look_up_request(
        &self,
        caller: &Caller<'_>,
        method: &Method,
        rest: &str,
    ) -> Result<Response<EntryBody>, Refusal> {
        let not_found = Refusal::not_run(Reason::NoRoute);
        let (service, key) = rest.split_once('/').ok_or(not_found)?;
        if method != Method::GET || !caller.doc.settings.services.contains_key(service) {
            return Err(not_found);
        }
        let account = format!("{}/{}", caller.team, caller.name);
        let service = format!("{}/{service}", caller.team);
        let state = look_up_key(self.platform.as_ref(), &account, &service, key).await;
        let state = state.map_err(|_| Refusal::not_run(Reason::StoreDown))?;
        Ok(json_answer(StatusCode::OK, &state))
    }
}

/// What a body is read by.
struct BodyReading<'a> {
    draining: &'a Draining,
    memory: &'a MemoryBudget,
    /// When the request arrived.
    arrived: Instant,
}

/// Finds the client account of the API key in the headers.
fn find_caller<'a>(current: &'a Snapshot, headers: &HeaderMap) -> Result<Caller<'a>, Refusal> {
    let bearer = header_str(headers, &AUTHORIZATION).and_then(|text| text.strip_prefix(BEARER));
    let key = bearer.or_else(|| headers.get(API_KEY)?.to_str().ok());
    key.and_then(|key| current.caller(key)).ok_or(Refusal::not_run(Reason::BadKey))
}

/// Finds the route and service of a request, reads its headers and body, and estimates its cost.
async fn check_request(
    head: Parts,
    body: Incoming,
    caller: &Caller<'_>,
    account: String,
    reading: BodyReading<'_>,
) -> Result<CheckedRequest, Refusal> {
    let host = header_str(&head.headers, &HOST).or(head.uri.host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = caller.route(host, head.uri.path(), head.method.as_str());
    let route = route.ok_or(Refusal::not_run(Reason::NoRoute))?;
    let service = caller.doc.settings.services.get(&route.service);
    let service = service.ok_or(Refusal::not_run(Reason::NoRoute))?.clone();
    let time_limit = read_deadline(&head.headers)?.unwrap_or(service.deadline.get());
    let key = read_key(&head.headers, route.repeat)?;
    let BodyReading { draining, memory, arrived } = reading;
    let deadline = arrived + time_limit;
    let max_bytes = service.max_body.bytes();
    let limits = BodyLimits { max_bytes, max_time: BODY_TIMEOUT.min(time_limit) };
    let end = RequestEnd { deadline, may_rerun: route.repeat.may_rerun() };
    let body = RequestBody::new(body, &head.extensions);
    let body = draining.collect(body, limits, end, memory).await;
    let body = body.map_err(|err| match err {
        err @ (CollectError::Draining | CollectError::NoMemory) => {
            Refusal::not_run(err.into()).retry_after(ENTRY_RETRY_AFTER)
        }
        err => Refusal::not_run(err.into()),
    })?;
    let estimate = if service.kind == Kind::Engine {
        RequestEstimate::from_chat(&body)
    } else {
        RequestEstimate::plain()
    };
    let parts = if service.kind == Kind::Engine { prompt_parts(&body) } else { SmallVec::new() };
    Ok(CheckedRequest {
        crash_keys: CrashKeys::new(
            fingerprint(&account, head.uri.path(), &body),
            &route.service,
            &parts,
        ),
        head,
        body,
        account,
        service_name: format!("{}/{}", caller.team, route.service),
        service,
        repeat: route.repeat,
        weight: caller.account.weight,
        priority: caller.account.priority,
        cost: estimate.cost,
        prefix: estimate.prefix,
        deadline,
        key,
        tried: SmallVec::new(),
    })
}

/// Reads the time limit that the caller has set, if any.
fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    if !headers.contains_key(DEADLINE_MS) {
        return Ok(None);
    }
    let time_limit = header_millis(headers, &DEADLINE_MS);
    let time_limit =
        time_limit.filter(|time_limit| !time_limit.is_zero() && *time_limit <= MAX_DEADLINE);
    time_limit.map(Some).ok_or(Refusal::not_run(Reason::BadHeader))
}

/// Reads the caller's idempotency key. A request that must not run twice gets a generated key if it
/// has none.
fn read_key(headers: &HeaderMap, repeat: Repeat) -> Result<Option<String>, Refusal> {
    if let Some(value) = headers.get(IDEMPOTENCY_KEY) {
        let key = value.to_str().ok().filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
        return key.map(|key| Some(key.to_owned())).ok_or(Refusal::not_run(Reason::BadHeader));
    }
    Ok((repeat == Repeat::Never).then(|| format!("auto-{}", AttemptId::random())))
}

fn is_event_stream(answer: &Response<Incoming>) -> bool {
    header_str(answer.headers(), &CONTENT_TYPE)
        .is_some_and(|media| media.starts_with("text/event-stream"))
}
