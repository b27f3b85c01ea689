use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Response;
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;
use tokio::time::{Instant, sleep, timeout_at};

use super::attempt_request::attempt_request;
use super::course::Course;
use super::hedge::first_answer;
use super::pass::InFlight;
use super::{Budget, Failure, Latency, Member, Members, Order, Policy, Suspects, Verdict, View};
use crate::id::Attempt;
use crate::metrics::Meter;
use crate::net::{ATTEMPT, HttpClient, LOAD, OUTCOME, REASON, h2_client, header_str, is_not_sent};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::settings::Repeat;

/// Time that an answer has for the way back after its deadline.
const RETURN_TIME: Duration = Duration::from_millis(100);

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
        Self { client: h2_client(), members, policy, suspects, services, meter, key }
    }

    /// Says that a request has run to its end.
    pub(super) fn ran_whole(&self, print: u64) {
        self.suspects.clear(print);
    }

    /// The requests that were in flight at crashes.
    pub(super) const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
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
        let mut course = Course::new();
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
        let member = self.pick(order).ok_or(Failure::not_run(Reason::NoUpstream))?;
        order.tried.push(member.instance.name.clone());
        let began = Instant::now();
        let sent = self.send_hedged(order, member, state, suspect).await?;
        state.latency.note(began.elapsed());
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
        let request = attempt_request(order, &member, attempt, &self.key, suspect);
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

    /// Chooses among the candidates, those not yet tried first.
    fn pick(&self, order: &Order) -> Option<Arc<Member>> {
        let members = self.members.of(&order.name)?;
        let candidates: SmallVec<[&Arc<Member>; 16]> =
            members.iter().filter(|member| member.is_candidate()).collect();
        let untried: SmallVec<[&Arc<Member>; 16]> = candidates
            .iter()
            .filter(|member| !order.tried.contains(&member.instance.name))
            .copied()
            .collect();
        let choice = if untried.is_empty() { candidates } else { untried };
        if choice.is_empty() {
            return None;
        }
        let now = Instant::now();
        let views: SmallVec<[View; 16]> =
            choice.iter().map(|member| member.view(order.prefix, now)).collect();
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
        if course.is_spent() || left <= course.pause_for(reason) {
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
