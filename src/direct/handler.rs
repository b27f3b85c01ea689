use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONNECTION, HOST};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::TaskTracker;

use super::course::Course;
use super::dispatcher::{Dispatcher, Sent};
use super::ledger::Ledger;
use super::order::{Order, strip};
use super::refuse::refuse;
use super::relay::{Relay, Rhythm};
use super::watch::CurrentRouting;
use super::{Account, DirectBody, DirectMeter, Route, Routing};
use crate::entry::fingerprint;
use crate::id::AttemptId;
use crate::net::{
    ChannelBody, CollectError, EventSplitter, Handler, collect, header_millis, header_str,
};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::units::BootTime;

/// When a caller may come back that this entry alone can't serve: the next connection reaches
/// another entry.
const COME_BACK: Duration = Duration::from_millis(30);
/// When a caller may come back that the upstreams refused: a group that has lost a rank takes about
/// two seconds to start and form again.
const UPSTREAMS_BACK: Duration = Duration::from_millis(1_700);
/// Spread of these times, so that callers refused together do not return together.
const COME_BACK_SPREAD: f64 = 0.5;
/// Longest time for a request body to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);
const BEARER: &str = "Bearer ";

/// Answers callers.
#[derive(Debug)]
pub(super) struct DirectHandler {
    pub(super) routing: CurrentRouting,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) meter: Arc<DirectMeter>,
    pub(super) tasks: TaskTracker,
    /// Whether callers are asked to go elsewhere with their next request.
    pub(super) leaving: Arc<AtomicBool>,
}

impl Handler for DirectHandler {
    type Body = DirectBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<DirectBody> {
        let mut answer = self.answer(request).await;
        if self.leaving.load(Ordering::Relaxed) {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

impl DirectHandler {
    async fn answer(&self, request: Request<Incoming>) -> Response<DirectBody> {
        let (head, body) = request.into_parts();
        let id = attempt_id(&head.headers, &self.dispatcher);
        let mut ledger = Ledger::open(&self.dispatcher.log, &self.meter, id.clone());
        let order = match self.read_order(head, body, id, &ledger).await {
            Ok(order) => order,
            Err(refusal) => return end(ledger, refusal),
        };
        order.state.budget.earn(Instant::now());
        let mut course = Course::default();
        let dispatch = self.dispatcher.dispatch(&order, &mut course, None);
        let sent = timeout_at(order.deadline, dispatch).await;
        let sent = sent.unwrap_or_else(|_| Err(out_of_time(&course)));
        ledger.attempted(course.attempts);
        match sent {
            Ok(Sent::Whole(answer)) => {
                ledger.ran(answer.status().as_u16());
                pass_on(answer)
            }
            Ok(Sent::Stream(stream)) => {
                let (sender, body) = ChannelBody::new();
                let mut answer = Response::new(DirectBody::stream(body));
                *answer.status_mut() = stream.head.status;
                answer.headers_mut().clone_from(&stream.head.headers);
                strip(answer.headers_mut());
                let dispatcher = Arc::clone(&self.dispatcher);
                let cutter = EventSplitter::default();
                let rhythm = Rhythm::default();
                let relay = Relay { dispatcher, order, course, ledger, cutter, rhythm };
                self.tasks.spawn(relay.run(stream, sender));
                answer
            }
            Err(refusal) => end(ledger, come_back(refusal)),
        }
    }

    /// Checks a request and reads it whole.
    async fn read_order(
        &self,
        head: Parts,
        body: Incoming,
        id: HeaderValue,
        ledger: &Ledger,
    ) -> Result<Order, Refusal> {
        let Some(routing) = self.routing.get() else {
            return Err(come_back(Refusal::not_run(Reason::NoSettings)));
        };
        let host = header_str(&head.headers, &HOST).or(head.uri.host()).unwrap_or_default();
        let route = self.find_route(&routing, host, head.uri.path())?;
        let account = self.find_account(&routing, &route, &head.headers)?;
        let left = header_millis(&head.headers, &self.dispatcher.wire.deadline);
        let deadline =
            ledger.arrived() + left.map_or(route.timeout, |left| left.min(route.timeout));
        let body = collect(body, routing.limits.body_bytes, BODY_TIME).await;
        let body = body.map_err(|err| {
            Refusal::not_run(match err {
                CollectError::TooLarge => Reason::BodyTooLarge,
                CollectError::Broken | CollectError::Slow => Reason::BodyBroken,
            })
        })?;
        let service = route.pick_service(rand::random()).and_then(|name| routing.service(name));
        let service = service.ok_or(come_back(Refusal::not_run(Reason::NoUpstream)))?;
        let print = fingerprint(
            account.as_ref().map_or("", |account| &account.name),
            head.uri.path_and_query().map_or("", PathAndQuery::as_str),
            &body,
        );
        if let Some(left) = self.dispatcher.crashes.held_for(print, Instant::now()) {
            return Err(Refusal::not_run(Reason::Poison).retry_after(left));
        }
        let mut headers = head.headers;
        strip(&mut headers);
        Ok(Order {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            print,
            account,
            state: self.dispatcher.service(&service.name),
            service: Arc::clone(service),
            route,
            revision: routing.revision,
            deadline,
        })
    }

    fn find_route(&self, routing: &Routing, host: &str, path: &str) -> Result<Arc<Route>, Refusal> {
        match routing.route(host, path) {
            Some(route) => Ok(Arc::clone(route)),
            // Settings that may be outdated don't show that a route is absent.
            None if !self.is_fresh() => Err(come_back(Refusal::not_run(Reason::StaleSettings))),
            None => Err(Refusal::not_run(Reason::NoRoute)),
        }
    }

    /// The client account of a request, nothing if it needs none.
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
            return Err(come_back(Refusal::not_run(Reason::StaleSettings)));
        }
        let key = header_str(headers, &AUTHORIZATION).and_then(|text| text.strip_prefix(BEARER));
        let account = key.and_then(|key| routing.account(key));
        account.cloned().map(Some).ok_or(Refusal::not_run(Reason::BadKey))
    }

    fn is_fresh(&self) -> bool {
        self.dispatcher.freshness.is_fresh(BootTime::now())
    }
}

/// The id that the caller gave its attempt, or a fresh one.
fn attempt_id(headers: &HeaderMap, dispatcher: &Dispatcher) -> HeaderValue {
    let fresh = || HeaderValue::from_str(&AttemptId::random().to_string());
    let given = headers.get(&dispatcher.wire.attempt).cloned();
    given.or_else(|| fresh().ok()).unwrap_or(HeaderValue::from_static("0"))
}

/// The upstream's own answer, as the caller gets it.
fn pass_on(answer: Response<Bytes>) -> Response<DirectBody> {
    let (mut head, body) = answer.into_parts();
    strip(&mut head.headers);
    Response::from_parts(head, DirectBody::whole(body))
}

/// What a caller is told whose time is over. An attempt that was cut off may have run.
fn out_of_time(course: &Course) -> Refusal {
    if course.is_sent() {
        Refusal::unknown(Reason::Deadline)
    } else {
        Refusal::not_run(Reason::Deadline)
    }
}

/// Tells the caller of a request that has not run when to come back.
fn come_back(refusal: Refusal) -> Refusal {
    if refusal.outcome != Outcome::NotRun || refusal.retry_after.is_some() {
        return refusal;
    }
    let wait = match refusal.reason {
        Reason::Overload | Reason::UpstreamDown | Reason::NoUpstream => UPSTREAMS_BACK,
        _ => COME_BACK,
    };
    let spread = rand::random_range(1.0..1.0 + COME_BACK_SPREAD);
    refusal.retry_after(wait.mul_f64(spread))
}

fn end(ledger: Ledger, refusal: Refusal) -> Response<DirectBody> {
    let answer = refuse(&refusal);
    ledger.refused(&refusal, answer.status().as_u16());
    answer
}
