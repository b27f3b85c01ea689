use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::header::{AUTHORIZATION, CONNECTION, HOST, HeaderName};
use http::{HeaderMap, HeaderValue, Request, Response, Uri, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;
use tokio::time::{Instant, sleep, timeout_at};

use super::hedge::first_answer;
use super::pass::InFlight;
use super::{Budget, Failure, Latency, Member, Members, Order, Policy, Suspects, Verdict, View};
use crate::id::Attempt;
use crate::metrics::Meter;
use crate::net::{
    ACCOUNT, ATTEMPT, COST, DEADLINE_MS, FINGERPRINT, HttpClient, IDEMPOTENCY_KEY, LINK_KEY, LOAD,
    OUTCOME, PREFIX, PRIORITY, REASON, REPEAT, SERVICE, SUSPECT, WEIGHT, h2_client, header_str,
    is_not_sent,
};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::settings::Repeat;

/// Most attempts at one request.
const MAX_ATTEMPTS: u32 = 5;
/// Attempts that broke off as if by a crash after which a request is not tried again.
const BREAKS_TO_STOP: u32 = 2;
const FIRST_BACKOFF: Duration = Duration::from_millis(5);
const LONGEST_BACKOFF: Duration = Duration::from_millis(400);
/// Pause before asking again for the answer of a request that still runs.
const PROGRESS_PAUSE: Duration = Duration::from_millis(100);
/// Time that an answer has for the way back after its deadline.
const RETURN_TIME: Duration = Duration::from_millis(100);
/// When a caller may come back after a refusal for want of upstreams.
const COME_BACK: Duration = Duration::from_secs(1);

/// Chooses upstreams, sends requests and tries again.
#[derive(Debug)]
pub struct Dispatcher<C> {
    client: HttpClient,
    members: Arc<Members>,
    policy: C,
    suspects: Arc<Suspects>,
    services: Mutex<HashMap<String, Arc<ServiceState>>>,
    meter: Arc<Meter>,
    key: String,
}

/// What an entry keeps for each service.
#[derive(Debug, Default)]
struct ServiceState {
    budget: Budget,
    latency: Latency,
}

/// An answer that has begun.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) answer: Response<Incoming>,
    pub(super) in_flight: InFlight,
}

/// Course of a request over its attempts.
#[derive(Debug, Default)]
struct Course {
    attempts: u32,
    /// Whether an attempt ended without telling whether it ran.
    unsure: bool,
    /// Attempts that broke off as if they had crashed the upstream.
    breaks: u32,
    backoff: Duration,
}

impl<C: Policy> Dispatcher<C> {
    /// Makes a dispatcher that sends to the members.
    pub fn new(
        members: Arc<Members>,
        policy: C,
        suspects: Arc<Suspects>,
        meter: Arc<Meter>,
        key: String,
    ) -> Self {
        let services = Mutex::default();
        Self {
            client: h2_client(),
            members,
            policy,
            suspects,
            services,
            meter,
            key,
        }
    }

    fn service(&self, name: &str) -> Arc<ServiceState> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = services.get(name) {
            return Arc::clone(state);
        }
        Arc::clone(services.entry(name.to_owned()).or_default())
    }

    /// Sends a request until an answer begins, or until another try can't help.
    pub(super) async fn dispatch(&self, order: &mut Order) -> Result<Sent, Refusal> {
        let state = self.service(&order.name);
        state.budget.earn(order.service.retry_share);
        let mut course = Course {
            backoff: FIRST_BACKOFF,
            ..Course::default()
        };
        loop {
            let failure = match self.round(order, &state, &course).await {
                Ok(sent) => return Ok(sent),
                Err(failure) => failure,
            };
            course.note(failure);
            if !self.may_retry(order, &course, &state, failure) {
                return Err(course.refusal(failure.reason));
            }
            self.meter.retry(failure.reason);
            sleep(course.next_pause(failure.reason)).await;
        }
    }

    async fn round(
        &self,
        order: &mut Order,
        state: &ServiceState,
        course: &Course,
    ) -> Result<Sent, Failure> {
        let suspect = match self.suspects.judge(order.print) {
            Verdict::Held(_) => return Err(Failure::not_run(Reason::Poison)),
            Verdict::Suspect => true,
            Verdict::Clear => course.breaks > 0,
        };
        let member = self
            .pick(order)
            .ok_or(Failure::not_run(Reason::NoUpstream))?;
        order.tried.push(member.instance.name.clone());
        let began = Instant::now();
        let sent = self.send_hedged(order, member, state, suspect).await?;
        state.latency.note(began.elapsed());
        if suspect {
            self.suspects.clear(order.print);
        }
        Ok(sent)
    }

    async fn send_hedged(
        &self,
        order: &Order,
        member: Arc<Member>,
        state: &ServiceState,
        suspect: bool,
    ) -> Result<Sent, Failure> {
        let hedges = order.service.hedge && order.repeat == Repeat::Free && !suspect;
        let Some(delay) = state.latency.p95().filter(|_| hedges) else {
            return self.send(order, member, suspect).await;
        };
        let second = || {
            let other = self.pick(order).filter(|_| state.budget.spend())?;
            self.meter.retry(Reason::Hedge);
            Some(self.send(order, other, suspect))
        };
        first_answer(self.send(order, member, suspect), delay, second).await
    }

    /// One attempt at one member.
    pub(super) async fn send(
        &self,
        order: &Order,
        member: Arc<Member>,
        suspect: bool,
    ) -> Result<Sent, Failure> {
        let attempt = Attempt::random();
        let request = self.request(order, &member, attempt, suspect);
        let request = request.ok_or(Failure::not_run(Reason::BadHeader))?;
        let link = member.link();
        let in_flight = InFlight::enter(member, attempt, order.print, order.prefix);
        let sending = timeout_at(order.deadline + RETURN_TIME, self.client.request(request));
        let answer = tokio::select! {
            answer = sending => answer,
            () = link.cancelled() => return Err(Failure::unknown(Reason::LinkLost)),
        };
        match answer {
            Ok(Ok(answer)) => read_answer(answer, attempt, in_flight),
            Ok(Err(err)) if is_not_sent(&err) => Err(Failure::not_run(Reason::LinkLost)),
            Ok(Err(_)) => Err(Failure::unknown(Reason::LinkLost)),
            Err(_) => Err(Failure::unknown(Reason::UpstreamTimeout)),
        }
    }

    fn request(
        &self,
        order: &Order,
        member: &Member,
        attempt: Attempt,
        suspect: bool,
    ) -> Option<Request<Full<bytes::Bytes>>> {
        let path = order
            .head
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let uri: Uri = format!("http://{}{path}", member.instance.data)
            .parse()
            .ok()?;
        let mut request = Request::new(Full::new(order.body.clone()));
        *request.method_mut() = order.head.method.clone();
        *request.uri_mut() = uri;
        *request.version_mut() = Version::HTTP_2;
        let headers = request.headers_mut();
        *headers = order.head.headers.clone();
        strip(headers);
        let left = order
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let mut put = |name: HeaderName, value: &str| {
            let value = HeaderValue::from_str(value).ok()?;
            headers.insert(name, value);
            Some(())
        };
        put(LINK_KEY, &self.key)?;
        put(ATTEMPT, &attempt.to_string())?;
        put(ACCOUNT, &order.account)?;
        put(SERVICE, &order.name)?;
        put(REPEAT, order.repeat.as_str())?;
        put(DEADLINE_MS, &left.to_string())?;
        put(COST, &order.cost.to_string())?;
        put(WEIGHT, &order.weight.to_string())?;
        put(PRIORITY, order.priority.as_str())?;
        put(FINGERPRINT, &format!("{:016x}", order.print))?;
        if let Some(key) = &order.key {
            put(IDEMPOTENCY_KEY, key)?;
        }
        if let Some(prefix) = order.prefix {
            put(PREFIX, &format!("{prefix:016x}"))?;
        }
        if suspect {
            put(SUSPECT, "true")?;
        }
        Some(request)
    }

    /// Chooses among the candidates, those not yet tried first.
    fn pick(&self, order: &Order) -> Option<Arc<Member>> {
        let members = self.members.of(&order.name)?;
        let candidates: SmallVec<[&Arc<Member>; 16]> = members
            .iter()
            .filter(|member| member.is_candidate())
            .collect();
        let untried: SmallVec<[&Arc<Member>; 16]> = candidates
            .iter()
            .filter(|member| !order.tried.contains(&member.instance.name))
            .copied()
            .collect();
        let choice = if untried.is_empty() {
            candidates
        } else {
            untried
        };
        if choice.is_empty() {
            return None;
        }
        let now = Instant::now();
        let views: SmallVec<[View; 16]> = choice
            .iter()
            .map(|member| member.view(order.prefix, now))
            .collect();
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let at = self.policy.choose(&views, &mut rng);
        choice.get(at).map(|member| Arc::clone(member))
    }

    fn may_retry(
        &self,
        order: &Order,
        course: &Course,
        state: &ServiceState,
        failure: Failure,
    ) -> bool {
        let Failure { outcome, reason } = failure;
        let left = order.deadline.saturating_duration_since(Instant::now());
        if course.breaks >= BREAKS_TO_STOP {
            return false;
        }
        if course.attempts >= MAX_ATTEMPTS || left <= course.pause_for(reason) {
            return false;
        }
        let allowed = match (outcome, order.repeat) {
            (Outcome::NotRun, _) => reason.is_local(),
            (Outcome::Unknown, Repeat::Free | Repeat::Keyed) => reason.is_local(),
            // The claim keeps a second attempt from running; it can only learn what became of
            // the first.
            (Outcome::Unknown, Repeat::Never) => {
                matches!(reason, Reason::LinkLost | Reason::InProgress)
            }
            (Outcome::Ran, _) => false,
        };
        let moves_on = matches!(reason, Reason::Leaving | Reason::UpstreamDown);
        allowed && (outcome == Outcome::NotRun && moves_on || state.budget.spend())
    }
}

impl Course {
    fn note(&mut self, failure: Failure) {
        self.attempts += 1;
        self.unsure |= failure.outcome == Outcome::Unknown;
        self.breaks += u32::from(failure.reason == Reason::UpstreamLost);
    }

    /// What the caller is told: once an attempt may have run, no later one can take that back.
    fn refusal(&self, reason: Reason) -> Refusal {
        if self.unsure {
            return Refusal::unknown(reason);
        }
        let refusal = Refusal::not_run(reason);
        if reason.is_local() || reason == Reason::NoUpstream {
            return refusal.retry_after(COME_BACK);
        }
        refusal
    }

    fn pause_for(&self, reason: Reason) -> Duration {
        match reason {
            Reason::InProgress => PROGRESS_PAUSE,
            Reason::Leaving | Reason::UpstreamDown => Duration::ZERO,
            _ => self.backoff,
        }
    }

    /// Time until the next try, with jitter so that callers that failed together part.
    fn next_pause(&mut self, reason: Reason) -> Duration {
        let pause = self.pause_for(reason);
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
        pause.mul_f64(rand::random_range(0.5..1.0))
    }
}

/// Takes off what concerns only the caller's connection, and what only this system may say.
fn strip(headers: &mut HeaderMap) {
    let own = [
        HOST,
        CONNECTION,
        AUTHORIZATION,
        LINK_KEY,
        SUSPECT,
        PREFIX,
        OUTCOME,
        REASON,
    ];
    for name in own {
        headers.remove(name);
    }
    for name in [
        "x-api-key",
        "transfer-encoding",
        "keep-alive",
        "te",
        "upgrade",
    ] {
        headers.remove(name);
    }
    headers.remove("content-length");
}

fn read_answer(
    mut answer: Response<Incoming>,
    attempt: Attempt,
    in_flight: InFlight,
) -> Result<Sent, Failure> {
    let headers = answer.headers();
    let echoed = header_str(headers, &ATTEMPT).and_then(|text| text.parse::<Attempt>().ok());
    if echoed != Some(attempt) {
        return Err(Failure::unknown(Reason::WrongAnswer));
    }
    if let Some(load) = header_str(headers, &LOAD).and_then(|text| text.parse().ok()) {
        in_flight.member().report(load);
    }
    let outcome = header_str(headers, &OUTCOME).and_then(Outcome::from_word);
    let reason = header_str(headers, &REASON).and_then(Reason::from_word);
    match (outcome, reason) {
        (Some(Outcome::Ran), _) => {
            answer.headers_mut().remove(ATTEMPT);
            answer.headers_mut().remove(LOAD);
            Ok(Sent { answer, in_flight })
        }
        (Some(outcome), Some(reason)) => {
            note_refusal(in_flight.member(), reason);
            Err(Failure { outcome, reason })
        }
        _ => Err(Failure::unknown(Reason::WrongAnswer)),
    }
}

fn note_refusal(member: &Member, reason: Reason) {
    match reason {
        Reason::Leaving => member.refused(true),
        Reason::UpstreamDown => member.refused(false),
        _ => {}
    }
}
