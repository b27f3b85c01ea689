use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING};
use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use super::connection::{Connection, SendError};
use super::course::Course;
use super::event::Event;
use super::ledger::millis;
use super::order::Order;
use super::upstream::InFlight;
use super::{
    Delivery, DirectMeter, Freshness, Load, RetryBudget, RetryLimits, Roster, Upstream, View, Wire,
    choose,
};
use crate::entry::Failure;
use crate::event_log::{EventLog, Level};
use crate::net::header_str;
use crate::outcome::Reason;
use crate::units::BootTime;

/// Largest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Least time that must be left for another attempt.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Time in which a connection must be free again after a whole answer.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Ties between equally loaded upstreams are broken by less than a request.
const TIE_SPREAD: f64 = 0.3;

/// Sends requests to upstreams, checks their answers, and tries again.
#[derive(Debug)]
pub(super) struct Dispatcher {
    pub(super) wire: Wire,
    pub(super) domain: String,
    pub(super) roster: Arc<Roster>,
    pub(super) freshness: Arc<Freshness>,
    pub(super) limits: RetryLimits,
    pub(super) budgets: Mutex<HashMap<String, Arc<RetryBudget>>>,
    pub(super) meter: Arc<DirectMeter>,
    pub(super) log: EventLog,
}

/// An answer of an upstream, or the beginning of one.
#[derive(Debug)]
pub(super) enum Sent {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// A stream that has begun.
    Stream(Box<Stream>),
}

/// A stream that has begun, and what it occupies.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) head: Parts,
    pub(super) body: Incoming,
    pub(super) conn: Connection,
    pub(super) upstream: Arc<Upstream>,
    pub(super) in_flight: InFlight,
}

impl Dispatcher {
    fn budget(&self, service: &str) -> Arc<RetryBudget> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get(service) {
            return Arc::clone(budget);
        }
        let budget = Arc::new(RetryBudget::new(self.limits));
        budgets.insert(service.to_owned(), Arc::clone(&budget));
        budget
    }

    /// Counts a request of a caller, which earns a part of a retry.
    pub(super) fn earn(&self, order: &Order) {
        self.budget(&order.service.name).earn(Instant::now());
    }

    /// Sends a request until an answer begins, or until another attempt can't help.
    pub(super) async fn dispatch(
        &self,
        order: &Order,
        course: &mut Course,
        last_event: Option<&Bytes>,
    ) -> Result<Sent, Failure> {
        // An upstream's own failure, for the case that no other does better.
        let mut spare = None;
        loop {
            let Some(upstream) = self.pick(order, course) else {
                let none = Err(Failure::not_run(Reason::NoUpstream));
                return spare.map_or(none, |answer| Ok(Sent::Whole(answer)));
            };
            let began = Instant::now();
            course.begin(&upstream.listed.id);
            self.log_sent(order, course, &upstream, began);
            let failure = match self.send(order, &upstream, last_event).await {
                Ok(Sent::Whole(answer)) if self.may_better(order, course, &answer) => {
                    self.meter.retried(Reason::UpstreamFailed);
                    spare = Some(answer);
                    continue;
                }
                Ok(sent) => return Ok(sent),
                Err(failure) => failure,
            };
            if let Some(answer) = spare {
                return Ok(Sent::Whole(answer));
            }
            course.note(failure.ended);
            self.log_failed(order, course, &upstream, &failure, began);
            if !self.may_retry(order, course, failure.ended) {
                return Err(failure.ended);
            }
            self.meter.retried(failure.ended.reason);
        }
    }

    fn may_retry(&self, order: &Order, course: &Course, failure: Failure) -> bool {
        let rerun = order.route.delivery.may_rerun();
        let left = order.deadline.saturating_duration_since(Instant::now());
        if left < LEAST_LEFT || !course.may_go_on(failure, rerun, order.route.max_attempts) {
            return false;
        }
        // What did not reach an upstream is no repetition for the upstreams.
        !course.is_sent() || self.budget(&order.service.name).spend(Instant::now())
    }

    /// Whether another upstream may do better with an idempotent request that one has failed.
    fn may_better(&self, order: &Order, course: &Course, answer: &Response<Bytes>) -> bool {
        let failure = Failure::unknown(Reason::UpstreamFailed);
        answer.status().is_server_error()
            && order.route.delivery == Delivery::Idempotent
            && self.may_retry(order, course, failure)
    }

    /// Whether a stream that broke off may be taken up again elsewhere.
    pub(super) fn may_resume(&self, order: &Order, course: &Course) -> bool {
        self.may_retry(order, course, Failure::unknown(Reason::UpstreamLost))
    }

    /// Chooses among the upstreams that were not tried yet.
    fn pick(&self, order: &Order, course: &Course) -> Option<Arc<Upstream>> {
        let upstreams = self.roster.of(&order.service.name);
        let candidates: SmallVec<[&Arc<Upstream>; 16]> = upstreams
            .iter()
            .filter(|upstream| !upstream.is_draining() && !course.has_tried(&upstream.listed.id))
            .collect();
        let now = Instant::now();
        let views: SmallVec<[View; 16]> =
            candidates.iter().map(|upstream| upstream.view(now)).collect();
        let near = |at: usize| candidates[at].listed.domain == self.domain;
        let chosen = choose(&views, near, |_| rand::random_range(0.0..TIE_SPREAD))?;
        Some(Arc::clone(candidates[chosen]))
    }

    /// One attempt at one upstream.
    async fn send(
        &self,
        order: &Order,
        upstream: &Arc<Upstream>,
        last_event: Option<&Bytes>,
    ) -> Result<Sent, Attempted> {
        let in_flight = upstream.enter();
        let exchange = self.exchange(order, upstream, last_event);
        let (mut conn, answer) = match timeout_at(order.deadline, exchange).await {
            Ok(answered) => answered?,
            Err(_) => return Err(self.lost(upstream, Reason::UpstreamTimeout, "no answer")),
        };
        let (head, body) = answer.into_parts();
        if head.headers.get(&self.wire.attempt) != Some(&order.id) {
            return Err(self.lost(upstream, Reason::WrongAnswer, "another attempt's answer"));
        }
        if let Some(load) = header_str(&head.headers, &self.wire.load).and_then(Load::parse) {
            upstream.report(load);
        }
        if order.route.delivery.is_stream() && head.status.is_success() {
            self.check_success(upstream, &head)?;
            upstream.answered();
            let upstream = Arc::clone(upstream);
            let stream = Stream { head, body, conn, upstream, in_flight };
            return Ok(Sent::Stream(Box::new(stream)));
        }
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let body = match timeout_at(order.deadline, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(err)) => {
                return Err(self.lost(upstream, Reason::UpstreamLost, &err.to_string()));
            }
            Err(_) => return Err(self.lost(upstream, Reason::UpstreamTimeout, "half an answer")),
        };
        self.keep(&mut conn, upstream, &head.headers).await.then(|| {
            upstream.put_idle(conn.rest(kept_for(&head.headers)));
        });
        self.judge(upstream, head, body)
    }

    /// Tells what a whole answer says.
    fn judge(&self, upstream: &Arc<Upstream>, head: Parts, body: Bytes) -> Result<Sent, Attempted> {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            upstream.drain();
            return Err(Attempted::new(Failure::not_run(Reason::WrongService), "another upstream"));
        }
        if head.headers.contains_key(&self.wire.not_run) {
            upstream.refused();
            let detail = format!("refused with {}", head.status);
            return Err(Attempted::new(Failure::not_run(Reason::Overload), detail));
        }
        if promises_not_run(head.status) {
            // The upstream says nothing of not having run, so the status must not promise it.
            let detail = format!("status {} without proof", head.status);
            return Err(self.lost(upstream, Reason::UpstreamLost, &detail));
        }
        if head.status.is_success() {
            self.check_success(upstream, &head)?;
        }
        upstream.answered();
        Ok(Sent::Whole(Response::from_parts(head, body)))
    }

    fn check_success(&self, upstream: &Upstream, head: &Parts) -> Result<(), Attempted> {
        let sealed = head.headers.contains_key(&self.wire.seal);
        if sealed && !head.headers.contains_key(CONTENT_ENCODING) {
            return Ok(());
        }
        Err(self.lost(upstream, Reason::WrongAnswer, "a success that the upstream did not make"))
    }

    fn lost(&self, upstream: &Upstream, reason: Reason, detail: &str) -> Attempted {
        upstream.lost();
        Attempted::new(Failure::unknown(reason), detail)
    }

    /// Whether a connection can be used again after a whole answer.
    async fn keep(&self, conn: &mut Connection, upstream: &Upstream, head: &HeaderMap) -> bool {
        let closes = header_str(head, &CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if closes || upstream.is_draining() {
            return false;
        }
        let settled = timeout_at(Instant::now() + SETTLE_TIME, conn.settle()).await;
        settled.unwrap_or(false)
    }

    /// Gives a connection back whose stream is whole.
    pub(super) async fn give_back(
        &self,
        mut conn: Connection,
        upstream: &Upstream,
        head: &HeaderMap,
    ) {
        if self.keep(&mut conn, upstream, head).await {
            upstream.put_idle(conn.rest(kept_for(head)));
        }
    }

    /// Sends on a kept connection, or on a new one.
    async fn exchange(
        &self,
        order: &Order,
        upstream: &Arc<Upstream>,
        last_event: Option<&Bytes>,
    ) -> Result<(Connection, Response<Incoming>), Attempted> {
        // On a kept connection a broken one and a lost answer look alike, so what must not run
        // twice does not go there.
        while order.route.delivery.may_rerun() {
            let Some(mut conn) = upstream.take_idle() else { break };
            let request = self.request(order, upstream, last_event)?;
            match conn.send(request).await {
                Ok(answer) => return Ok((conn, answer)),
                Err(SendError::NotSent(_)) => {}
                Err(SendError::Lost(err)) => return Err(self.broken(upstream, &err)),
            }
        }
        let mut conn = Connection::open(upstream.addr()).await.map_err(|err| {
            upstream.refused();
            Attempted::new(Failure::not_run(Reason::UpstreamDown), err.to_string())
        })?;
        let request = self.request(order, upstream, last_event)?;
        match conn.send(request).await {
            Ok(answer) => Ok((conn, answer)),
            Err(SendError::NotSent(_)) => {
                upstream.refused();
                Err(Attempted::new(Failure::not_run(Reason::UpstreamDown), "closed at once"))
            }
            Err(SendError::Lost(err)) => Err(self.broken(upstream, &err)),
        }
    }

    /// The request, if the upstream may still be sent it.
    fn request(
        &self,
        order: &Order,
        upstream: &Upstream,
        last_event: Option<&Bytes>,
    ) -> Result<Request<Full<Bytes>>, Attempted> {
        if upstream.is_draining() {
            return Err(Attempted::new(Failure::not_run(Reason::UpstreamDown), "leaving"));
        }
        Ok(order.request_for(upstream, &self.wire, last_event))
    }

    fn broken(&self, upstream: &Upstream, err: &hyper::Error) -> Attempted {
        self.lost(upstream, Reason::UpstreamLost, &err.to_string())
    }

    fn log_sent(&self, order: &Order, course: &Course, upstream: &Upstream, now: Instant) {
        let view = upstream.view(now);
        let age = self.freshness.age(BootTime::now()).unwrap_or_default();
        let event = Event::Sent {
            id: order.id.to_str().unwrap_or_default(),
            attempt: course.attempts,
            route: &order.route.name,
            account: order.account.as_ref().map_or("", |account| &account.name),
            upstream: &upstream.listed.id,
            revision: order.revision,
            settings_age_ms: millis(age),
            own: view.own,
            others: view.others,
            load_age_ms: upstream.last_load(now).map(|(age, _)| millis(age)),
            left_ms: millis(order.deadline.saturating_duration_since(now)),
        };
        self.log.write(Level::Info, &event);
    }

    fn log_failed(
        &self,
        order: &Order,
        course: &Course,
        upstream: &Upstream,
        failure: &Attempted,
        began: Instant,
    ) {
        let event = Event::Failed {
            id: order.id.to_str().unwrap_or_default(),
            attempt: course.attempts,
            upstream: &upstream.listed.id,
            outcome: failure.ended.outcome.as_str(),
            reason: failure.ended.reason.as_str(),
            detail: failure.detail.clone(),
            took_ms: millis(began.elapsed()),
        };
        self.log.write(Level::Warn, &event);
    }
}

/// How an attempt without an answer ended, with a word for the log.
#[derive(Clone, Debug)]
struct Attempted {
    ended: Failure,
    detail: String,
}

impl Attempted {
    fn new(ended: Failure, detail: impl Into<String>) -> Self {
        Self { ended, detail: detail.into() }
    }
}

/// Statuses by which callers take a request for one that has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// How long an upstream keeps an idle connection, where its answer says so.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
