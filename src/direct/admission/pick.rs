use std::sync::Arc;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::capacity::SentRequest;
use crate::direct::attempts::AttemptHistory;
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::Dispatcher;
use crate::direct::{
    Admission, Candidate, EngineLoad, LatencyTargets, Upstream, choose, estimate_loads,
};
use crate::outcome::{Reason, Refusal};

/// Upper bound of the random amount, in requests, that breaks ties between equally loaded
/// upstreams. It is less than one request.
const TIE_BREAK_SPREAD: f64 = 0.3;

/// A chosen upstream, with the state that the choice was based on.
#[derive(Debug)]
pub(in crate::direct) struct Chosen {
    pub(in crate::direct) upstream: Arc<Upstream>,
    pub(in crate::direct) candidate: Candidate,
    /// What is known of the request there, if speed and capacity are learned.
    pub(in crate::direct) sent: Option<SentRequest>,
}

impl Dispatcher {
    /// Chooses among the upstreams that are not draining and were not tried yet. Admission is
    /// checked before the first attempt only.
    pub(in crate::direct) fn pick(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
    ) -> Result<Chosen, Refusal> {
        let upstreams = self.roster.service_upstreams(&request.service.name);
        let now = Instant::now();
        let mut eligible: SmallVec<[&Arc<Upstream>; 16]> = upstreams
            .iter()
            .filter(|upstream| !upstream.is_draining() && !history.has_tried(&upstream.listed.id))
            .collect();
        self.drop_limited(&mut eligible, request, history, now)?;
        let candidates: SmallVec<[Candidate; 16]> = eligible
            .iter()
            .map(|upstream| upstream.candidate(&request.state.liveness, now))
            .collect();
        let loads = estimate_loads(&candidates);
        let learned = request.is_learned.then(|| self.rate(request, &eligible, now));
        if history.attempts == 0 {
            if let Some(learned) = &learned {
                self.admit_plain(request, learned, &loads, now)?;
            }
            let own_requests = candidates.iter().map(|candidate| candidate.own).sum();
            self.admit(request, &loads, own_requests, now)?;
        }
        let is_local = |at: usize| eligible[at].listed.domain == self.domain;
        let expected = learned.as_ref().map(|learned| learned.expected_loads(&candidates, &loads));
        let expected = expected.as_ref().unwrap_or(&loads);
        let chosen =
            choose(&candidates, expected, is_local, |_| rand::random_range(0.0..TIE_BREAK_SPREAD));
        let chosen = chosen.ok_or(history.refusal(Reason::NoUpstream))?;
        self.limits.record_send(&eligible[chosen].listed, now);
        let sent = learned.map(|learned| learned.sent_request(request, chosen, &loads));
        let candidate = candidates[chosen];
        Ok(Chosen { upstream: Arc::clone(eligible[chosen]), candidate, sent })
    }

    /// Drops the upstreams that may not get another request from this entry yet, by their limits or
    /// the pauses that they asked for. Refuses the request if that leaves none.
    fn drop_limited(
        &self,
        eligible: &mut SmallVec<[&Arc<Upstream>; 16]>,
        request: &CheckedRequest,
        history: &AttemptHistory,
        now: Instant,
    ) -> Result<(), Refusal> {
        let mut first = None;
        let has_limits = !self.limits.is_empty();
        eligible.retain(|upstream| {
            let limited = has_limits.then(|| self.limits.next_send(&upstream.listed, now));
            let next = limited.max(upstream.paused_until(now)).unwrap_or(now);
            first = first.into_iter().chain([next]).min();
            next <= now
        });
        let Some(first) = first.filter(|_| eligible.is_empty()) else {
            return Ok(());
        };
        let retry_after = request.state.return_queue.enqueue(first, now);
        Err(history.refusal(Reason::UpstreamLimit).retry_after(retry_after))
    }

    fn admit(
        &self,
        request: &CheckedRequest,
        loads: &[f64],
        own_requests: u32,
        now: Instant,
    ) -> Result<(), Refusal> {
        let Some(engine) = request.service.engine.filter(|_| !loads.is_empty()) else {
            return Ok(());
        };
        let stream_stats = &request.state.stream_stats;
        let mut load = EngineLoad {
            engine,
            mean: loads.iter().sum::<f64>() / loads.len() as f64,
            min: loads.iter().copied().fold(f64::INFINITY, f64::min),
            gap: stream_stats.mean_gap(now),
            stream_duration: stream_stats.mean_duration(),
            own_requests,
            learned_capacity: request
                .is_learned
                .then(|| request.state.capacity.capacity(now))
                .flatten(),
            inactive_for: request.state.liveness.inactive_for(now),
        };
        if load.is_stalled() && request.state.liveness.may_probe(now) {
            // Lets this request through as a probe.
            load.inactive_for = None;
        }
        let targets = LatencyTargets {
            first_byte: request.route.first_byte_target,
            gap: request.route.gap_target,
        };
        match load.decide(&targets) {
            Admission::Admit => Ok(()),
            Admission::Refuse(retry_after) => {
                self.log_not_admitted(request, &load, load.capacity(&targets));
                Err(Refusal::not_run(Reason::Overload).retry_after(retry_after))
            }
        }
    }
}
