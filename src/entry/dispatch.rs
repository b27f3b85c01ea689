use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Response;
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;
use tokio::time::{Instant, sleep, timeout_at};

use super::attempt_history::AttemptHistory;
use super::attempt_request::attempt_request;
use super::forwarded_body::InFlight;
use super::hedge::first_success;
use super::{
    Candidate, CheckedRequest, CrashKeys, Failure, Latency, Member, Members, Policy,
    QuarantineStatus, RetryBudget, Suspects,
};
use crate::id::AttemptId;
use crate::metrics::Meter;
use crate::net::{
    ATTEMPT, Draining, HttpClient, LOAD, OUTCOME, REASON, h2_client, header_str, is_not_sent,
};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::settings::Repeat;

/// Time after the deadline in which a response that is already on its way may still arrive.
const RETURN_TIME: Duration = Duration::from_millis(100);

/// Chooses upstreams, sends requests to them and retries failed attempts.
#[derive(Debug)]
pub struct Dispatcher<C> {
    client: HttpClient,
    members: Arc<Members>,
    policy: C,
    suspects: Arc<Suspects>,
    services: Mutex<HashMap<String, Arc<ServiceState>>>,
    meter: Arc<Meter>,
    link_key: String,
    draining: Draining,
}

/// State that an entry keeps for each service.
#[derive(Debug, Default)]
struct ServiceState {
    retry_budget: RetryBudget,
    latency: Latency,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(super) struct StartedResponse {
    pub(super) answer: Response<Incoming>,
    pub(super) in_flight: InFlight,
}

impl<C: Policy> Dispatcher<C> {
    /// Creates a dispatcher that sends to these members.
    pub fn new(
        members: Arc<Members>,
        policy: C,
        suspects: Arc<Suspects>,
        meter: Arc<Meter>,
        link_key: String,
        draining: Draining,
    ) -> Self {
        let services = Mutex::default();
        Self { client: h2_client(), members, policy, suspects, services, meter, link_key, draining }
    }

    /// Whether this entry shuts down.
    pub(super) const fn draining(&self) -> &Draining {
        &self.draining
    }

    /// Records that a request has run to completion.
    pub(super) fn record_completed(&self, keys: &CrashKeys) {
        self.suspects.clear_all(keys);
    }

    /// The requests that were in flight when an upstream crashed.
    pub(super) const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    fn service_state(&self, name: &str) -> Arc<ServiceState> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = services.get(name) {
            return Arc::clone(state);
        }
        Arc::clone(services.entry(name.to_owned()).or_default())
    }

    /// Sends a request until a response starts or another attempt is not allowed.
    pub(super) async fn dispatch(
        &self,
        request: &mut CheckedRequest,
    ) -> Result<StartedResponse, Refusal> {
        let state = self.service_state(&request.service_name);
        state.retry_budget.earn(request.service.retry_share);
        let mut history = AttemptHistory::new();
        loop {
            if !self.draining.may_start(request.end()) {
                return Err(history.refusal(Reason::Leaving));
            }
            let failure = match self.try_once(request, &state, &history).await {
                Ok(started) => return Ok(started),
                Err(failure) => failure,
            };
            history.record(failure);
            if !self.may_retry(request, &history, &state, failure) {
                return Err(history.refusal(failure.reason));
            }
            self.meter.count_retry(failure.reason);
            sleep(history.next_backoff(failure.reason)).await;
        }
    }

    /// Makes one attempt, hedged if the service allows it.
    async fn try_once(
        &self,
        request: &mut CheckedRequest,
        state: &ServiceState,
        history: &AttemptHistory,
    ) -> Result<StartedResponse, Failure> {
        let suspect = match self.suspects.judge(&request.crash_keys) {
            QuarantineStatus::Quarantined(_) => return Err(Failure::not_run(Reason::Poison)),
            QuarantineStatus::Suspect => true,
            QuarantineStatus::Clear => history.suspected_crashes > 0,
        };
        let member = self.pick(request).ok_or(Failure::not_run(Reason::NoUpstream))?;
        request.tried.push(member.instance.name.clone());
        let began = Instant::now();
        let started = self.send_hedged(request, member, state, suspect).await?;
        state.latency.record(began.elapsed());
        Ok(started)
    }

    /// Sends a request and, if no response starts within the 95th percentile of the service's
    /// latency, hedges it with a second attempt at another member. Hedging requires a service that
    /// allows it, a request that may run twice and is no suspect, and a retry from the budget.
    async fn send_hedged(
        &self,
        request: &CheckedRequest,
        member: Arc<Member>,
        state: &ServiceState,
        suspect: bool,
    ) -> Result<StartedResponse, Failure> {
        let may_hedge = request.service.hedge && request.repeat == Repeat::Free && !suspect;
        let Some(delay) = state.latency.p95().filter(|_| may_hedge) else {
            return self.send(request, member, suspect).await;
        };
        let second = || {
            let other = self.pick(request).filter(|_| state.retry_budget.spend())?;
            self.meter.count_retry(Reason::Hedge);
            Some(self.send(request, other, suspect))
        };
        first_success(self.send(request, member, suspect), delay, second).await
    }

    /// Makes one attempt at one member.
    pub(super) async fn send(
        &self,
        request: &CheckedRequest,
        member: Arc<Member>,
        suspect: bool,
    ) -> Result<StartedResponse, Failure> {
        let attempt = AttemptId::random();
        let outgoing = attempt_request(request, &member, attempt, &self.link_key, suspect);
        let outgoing = outgoing.ok_or(Failure::not_run(Reason::BadHeader))?;
        let link_lost = member.link_token();
        let in_flight = InFlight::start(member, attempt, &request.crash_keys, request.prefix);
        let sending = timeout_at(request.deadline + RETURN_TIME, self.client.request(outgoing));
        let answer = tokio::select! {
            answer = sending => answer,
            () = link_lost.cancelled() => return Err(Failure::unknown(Reason::LinkLost)),
        };
        match answer {
            Ok(Ok(answer)) => read_answer(answer, attempt, in_flight),
            Ok(Err(err)) if is_not_sent(&err) => Err(Failure::not_run(Reason::LinkLost)),
            Ok(Err(_)) => Err(Failure::unknown(Reason::LinkLost)),
            Err(_) => Err(Failure::unknown(Reason::UpstreamTimeout)),
        }
    }

    /// Picks a member among those not yet tried, or among all candidates if every one was tried.
    fn pick(&self, request: &CheckedRequest) -> Option<Arc<Member>> {
        let members = self.members.of(&request.service_name)?;
        let available: SmallVec<[&Arc<Member>; 16]> =
            members.iter().filter(|member| member.is_candidate()).collect();
        let untried: SmallVec<[&Arc<Member>; 16]> = available
            .iter()
            .filter(|member| !request.tried.contains(&member.instance.name))
            .copied()
            .collect();
        let pool = if untried.is_empty() { available } else { untried };
        if pool.is_empty() {
            return None;
        }
        let now = Instant::now();
        let candidates: SmallVec<[Candidate; 16]> =
            pool.iter().map(|member| member.candidate(request.prefix, now)).collect();
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let index = self.policy.choose(&candidates, &mut rng);
        pool.get(index).map(|member| Arc::clone(member))
    }

    /// Whether another attempt is allowed after a failure. The retry is not charged to the
    /// retry budget if the attempt did not run because the upstream is leaving or down.
    fn may_retry(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        state: &ServiceState,
        failure: Failure,
    ) -> bool {
        let Failure { outcome, reason } = failure;
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        if history.is_exhausted() || remaining <= history.backoff_for(reason) {
            return false;
        }
        let allowed = match (outcome, request.repeat) {
            (Outcome::NotRun, _) => reason.may_succeed_elsewhere(),
            (Outcome::Unknown, Repeat::Free | Repeat::Keyed) => reason.may_succeed_elsewhere(),
            // The sidecar claims the idempotency key before it runs the request. If the first
            // attempt started it, a second one can therefore only find out the result.
            (Outcome::Unknown, Repeat::Never) => {
                matches!(reason, Reason::LinkLost | Reason::InProgress)
            }
            (Outcome::Ran, _) => false,
        };
        let upstream_unavailable = matches!(reason, Reason::Leaving | Reason::UpstreamDown);
        allowed
            && (outcome == Outcome::NotRun && upstream_unavailable || state.retry_budget.spend())
    }
}

/// Checks that a response belongs to the attempt, applies its load report and reads its outcome.
fn read_answer(
    mut answer: Response<Incoming>,
    attempt: AttemptId,
    in_flight: InFlight,
) -> Result<StartedResponse, Failure> {
    let headers = answer.headers();
    let echoed = header_str(headers, &ATTEMPT).and_then(|text| text.parse::<AttemptId>().ok());
    if echoed != Some(attempt) {
        return Err(Failure::unknown(Reason::WrongAnswer));
    }
    if let Some(load) = header_str(headers, &LOAD).and_then(|text| text.parse().ok()) {
        in_flight.member().update_load(load);
    }
    let outcome = header_str(headers, &OUTCOME).and_then(Outcome::parse);
    let reason = header_str(headers, &REASON).and_then(Reason::parse);
    match (outcome, reason) {
        (Some(Outcome::Ran), _) => {
            answer.headers_mut().remove(ATTEMPT);
            answer.headers_mut().remove(LOAD);
            Ok(StartedResponse { answer, in_flight })
        }
        (Some(outcome), Some(reason)) => {
            apply_refusal(in_flight.member(), reason);
            Err(Failure { outcome, reason })
        }
        _ => Err(Failure::unknown(Reason::WrongAnswer)),
    }
}

/// Marks a member as unavailable if its refusal says so.
fn apply_refusal(member: &Member, reason: Reason) {
    match reason {
        Reason::Leaving => member.mark_unavailable(true),
        Reason::UpstreamDown => member.mark_unavailable(false),
        _ => {}
    }
}
