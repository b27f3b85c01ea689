use std::collections::HashMap;
use std::future::pending;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep};

use super::checked_request::CheckedRequest;
use super::limits::UpstreamLimits;
use super::quarantine::CrashRecorder;
use super::service_state::ServiceState;
use super::{
    Delivery, DirectMeter, Evacuations, Freshness, GroupDirectory, HeaderNames, KnownEntries,
    Liveness, RetryLimits, Roster, Upstream,
};
use crate::capacity::CapacitySwitch;
use crate::direct::admission::Chosen;
use crate::direct::attempts::{
    AttemptHistory, Connection, FailedAttempt, HeaderWatch, OpenAttempt,
};
use crate::direct::responses::StreamProgress;
use crate::direct::upstreams::InFlight;
use crate::entry::Failure;
use crate::event_log::EventLog;
use crate::memory::MemoryBudget;
use crate::net::Draining;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::units::{BootTime, millis};

/// Minimum time before the deadline for another attempt to be made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Interval at which an upstream is checked for being stuck.
const STUCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends requests to upstreams, checks their responses, and retries.
#[derive(Debug)]
pub(super) struct Dispatcher {
    pub(super) header_names: HeaderNames,
    pub(super) header_watch: HeaderWatch,
    pub(super) domain: String,
    pub(super) roster: Arc<Roster>,
    pub(super) evacuations: Arc<Evacuations>,
    pub(super) group_directory: Arc<GroupDirectory>,
    pub(super) freshness: Arc<Freshness>,
    pub(super) retry_limits: RetryLimits,
    pub(super) service_states: Mutex<HashMap<String, Arc<ServiceState>>>,
    pub(super) crash_recorder: Arc<CrashRecorder>,
    pub(super) limits: Arc<UpstreamLimits>,
    pub(super) known_entries: Arc<KnownEntries>,
    pub(super) draining: Draining,
    /// What is held for callers.
    pub(super) memory: MemoryBudget,
    /// Whether the speed and the capacity of upstreams are learned.
    pub(super) capacity_switch: Arc<CapacitySwitch>,
    pub(super) meter: Arc<DirectMeter>,
    pub(super) log: EventLog,
}

/// Response of an upstream, complete or begun.
#[derive(Debug)]
pub(super) enum UpstreamResponse {
    /// A complete response.
    Complete(Response<Bytes>),
    /// A stream that has begun.
    Stream(Box<Stream>),
}

/// What one attempt brought.
#[derive(Debug)]
pub(super) enum Exchanged {
    /// A complete response.
    Complete(Response<Bytes>),
    /// The head of a stream.
    Begun(BegunStream),
}

/// A stream whose head has arrived, with its connection and the guard that counts it as in flight.
#[derive(Debug)]
pub(super) struct BegunStream {
    pub(super) head: Parts,
    pub(super) body: Incoming,
    pub(super) conn: Connection,
    pub(super) in_flight: InFlight,
}

/// A stream that has begun, with the attempt that it belongs to.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) begun: BegunStream,
    pub(super) upstream: Arc<Upstream>,
    pub(super) attempt: OpenAttempt,
}

impl Dispatcher {
    /// Returns the state of a service, which is created on first use.
    pub(super) fn service_state(&self, name: &str) -> Arc<ServiceState> {
        let mut service_states = self.service_states.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = service_states.get(name) {
            return Arc::clone(state);
        }
        let state = Arc::new(ServiceState::new(self.retry_limits));
        service_states.insert(name.to_owned(), Arc::clone(&state));
        state
    }

    /// Makes attempts until a response begins or no further attempt is allowed.
    pub(super) async fn dispatch(
        &self,
        request: &CheckedRequest,
        history: &mut AttemptHistory,
        last_event: Option<&Bytes>,
    ) -> Result<UpstreamResponse, Refusal> {
        // Error response of an upstream, returned if the retry brings no better one.
        let mut fallback = None;
        loop {
            let chosen = self.choose_upstream(request, history).await;
            let Chosen { upstream, candidate, group, row_time, sent } = match chosen {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    return fallback
                        .map_or(Err(refusal), |response| Ok(UpstreamResponse::Complete(response)));
                }
            };
            history.record_start(&upstream.listed.id);
            let attempt = OpenAttempt::start(&self.log, &request.id, history.attempts, &upstream);
            let started = attempt.started();
            let row_age = row_time.map(|read_at| started.saturating_duration_since(read_at));
            self.log_sent(
                request,
                history,
                &upstream,
                (&candidate, sent.as_ref()),
                (&group.name, row_age),
            );
            let (result, is_charged) = tokio::select! {
                result = self.send(request, &upstream, &group, sent, last_event) => (result, false),
                stuck = self.wait_until_stuck(request, history, &upstream, &group.liveness) => (Err(stuck), true),
            };
            if let Some(sent) = sent.filter(|_| is_error(&result)) {
                upstream.record_error(&sent, Instant::now());
            }
            let failed = match result {
                Ok(Exchanged::Begun(begun)) => {
                    let stream = Stream { begun, upstream, attempt };
                    return Ok(UpstreamResponse::Stream(Box::new(stream)));
                }
                Ok(Exchanged::Complete(response)) => {
                    attempt.close();
                    if !self.may_retry_response(request, history, &response) {
                        return Ok(UpstreamResponse::Complete(response));
                    }
                    self.meter.retried(Reason::UpstreamFailed);
                    fallback = Some(response);
                    continue;
                }
                Err(failed) => {
                    attempt.close();
                    failed
                }
            };
            if let Some(response) = fallback {
                return Ok(UpstreamResponse::Complete(response));
            }
            history.record_failure(failed.failure);
            if failed.may_be_rank_loss() || group.is_down() {
                history.record_group_failure(&group.name);
            }
            self.log_failed(request, history, &upstream, &failed, started);
            if let Some(sign) = failed.sign {
                self.suspect(request, &upstream, started, sign, StreamProgress::default());
                self.await_verdict(request, history, &upstream, sign).await;
            }
            if !is_charged && !self.may_retry_failed(request, history, &failed) {
                let refusal = history.refusal(failed.failure.reason);
                let wait = failed.retry_after.filter(|_| refusal.outcome == Outcome::NotRun);
                return Err(wait.map_or(refusal, |wait| refusal.retry_after(wait)));
            }
            self.meter.retried(failed.failure.reason);
        }
    }

    /// Returns whether another attempt may follow a failed one.
    fn may_retry_failed(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        failed: &FailedAttempt,
    ) -> bool {
        // Another rank of a group that does not run would refuse as well.
        let has_upstream = failed.retry_after.is_none() || self.has_running_group(request, history);
        has_upstream && self.may_retry(request, history, failed.failure)
    }

    /// Chooses an upstream for the next attempt, if the request may be sent.
    async fn choose_upstream(
        &self,
        request: &CheckedRequest,
        history: &mut AttemptHistory,
    ) -> Result<Chosen, Refusal> {
        self.check_draining(request, history)?;
        let due = self.check_quarantine(request, history)?;
        let chosen = self.pick(request, history)?;
        if let Some(due) = due {
            self.claim_trial(request, history, due).await?;
            // The claim has taken a call of the platform.
            self.check_draining(request, history)?;
        }
        Ok(chosen)
    }

    /// Refuses a request that can't end before this process does.
    fn check_draining(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
    ) -> Result<(), Refusal> {
        if self.draining.may_start(request.end()) {
            return Ok(());
        }
        Err(history.refusal(Reason::Leaving))
    }

    fn may_retry(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        failure: Failure,
    ) -> bool {
        let may_rerun = request.route.delivery.may_rerun();
        let time_left = request.deadline.saturating_duration_since(Instant::now());
        if time_left < MIN_TIME_LEFT
            || !history.allows_retry(failure, may_rerun, request.route.max_attempts)
        {
            return false;
        }
        // While no upstream has received the request, another attempt is no repetition for the
        // upstreams, so it is not charged to the budget.
        let unreached = failure.reason == Reason::UpstreamDown && !history.reached_upstream();
        unreached || self.charge_retry(request, failure.reason)
    }

    /// Takes a retry from the budget of the request's service. Returns whether that allows it.
    fn charge_retry(&self, request: &CheckedRequest, reason: Reason) -> bool {
        let now = BootTime::now();
        let charge = request.state.retry_budget.spend(now, self.known_entries.part(now));
        self.log_charge(request, reason, &charge);
        charge.is_granted
    }

    /// Returns whether an idempotent request may be retried after a server error.
    fn may_retry_response(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        response: &Response<Bytes>,
    ) -> bool {
        let failure = Failure::unknown(Reason::UpstreamFailed);
        response.status().is_server_error()
            && request.route.delivery == Delivery::Idempotent
            && self.may_retry(request, history, failure)
    }

    /// Waits until an upstream is stuck and an attempt at another one is allowed. That attempt is
    /// then already charged to the retry budget.
    pub(super) async fn wait_until_stuck(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        upstream: &Upstream,
        liveness: &Liveness,
    ) -> FailedAttempt {
        if !request.route.delivery.may_rerun() {
            return pending().await;
        }
        loop {
            sleep(STUCK_CHECK_INTERVAL).await;
            if upstream.is_stuck(liveness) && self.may_resume(request, history) {
                upstream.record_loss();
                let silence = upstream.inactive_for(liveness);
                let limit_ms = millis(liveness.silence_limit());
                liveness.record_response_time(silence);
                let silence_ms = millis(silence);
                return FailedAttempt::silent(format!(
                    "silent for {silence_ms} ms while others answer, usual are up to {limit_ms}"
                ));
            }
        }
    }

    /// Returns whether an interrupted request may continue at another upstream.
    pub(super) fn may_resume(&self, request: &CheckedRequest, history: &AttemptHistory) -> bool {
        self.may_retry(request, history, Failure::unknown(Reason::UpstreamLost))
    }
}

/// Returns whether an attempt failed or brought a server error.
fn is_error(result: &Result<Exchanged, FailedAttempt>) -> bool {
    match result {
        Ok(Exchanged::Complete(response)) => response.status().is_server_error(),
        Ok(Exchanged::Begun(_)) => false,
        Err(_) => true,
    }
}
