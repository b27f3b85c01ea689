use std::sync::Arc;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::admission::GroupLoad;
use crate::direct::attempts::AttemptHistory;
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::Dispatcher;
use crate::direct::{Candidate, Engine, EngineLoad, Upstream, choose, estimate_loads, load_share};
use crate::outcome::{Reason, Refusal};

/// Upper bound of the random amount, in requests, that breaks ties between equally loaded
/// upstreams. It is less than one request.
const TIE_BREAK_SPREAD: f64 = 0.3;

/// A chosen upstream, with the state that the choice was based on.
#[derive(Debug)]
pub(in crate::direct) struct Chosen {
    pub(in crate::direct) upstream: Arc<Upstream>,
    pub(in crate::direct) candidate: Candidate,
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
        if history.attempts == 0 {
            self.admit(request, &candidates, &loads, now)?;
        }
        let is_local = |at: usize| eligible[at].listed.domain == self.domain;
        let chosen =
            choose(&candidates, &loads, is_local, |_| rand::random_range(0.0..TIE_BREAK_SPREAD));
        let chosen = chosen.ok_or(history.refusal(Reason::NoUpstream))?;
        self.limits.record_send(&eligible[chosen].listed, now);
        Ok(Chosen { upstream: Arc::clone(eligible[chosen]), candidate: candidates[chosen] })
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

    /// Decides whether a request of an engine service is sent at all.
    fn admit(
        &self,
        request: &CheckedRequest,
        candidates: &[Candidate],
        loads: &[f64],
        now: Instant,
    ) -> Result<(), Refusal> {
        let Some(engine) = request.service.engine.filter(|_| !loads.is_empty()) else {
            return Ok(());
        };
        let offer = request.offer();
        let admission = &request.state.admission;
        let engine_load = engine_load(request, engine, candidates, loads, now);
        admission.record_arrival(&offer, engine_load.own_requests, load_share(candidates), now);
        let load = GroupLoad::new(engine_load, candidates, loads, loads.len());
        let decision = admission.decide(&offer, &load, now);
        self.meter.decided(offer.priority, decision.is_admitted);
        if decision.is_admitted {
            admission.record_admitted(&offer, now);
            return Ok(());
        }
        let retry_after = admission.refuse(&offer, &load, &decision, rand::random(), now);
        self.log_not_admitted(request, &load, &decision.basis);
        Err(Refusal::not_run(Reason::Overload).retry_after(retry_after))
    }
}

/// Returns the load of a group of engines. If they are stalled and may be probed, they don't count
/// as stalled for this request, which is the probe.
fn engine_load(
    request: &CheckedRequest,
    engine: Engine,
    candidates: &[Candidate],
    loads: &[f64],
    now: Instant,
) -> EngineLoad {
    let stream_stats = &request.state.stream_stats;
    let mut load = EngineLoad {
        engine,
        mean: loads.iter().sum::<f64>() / loads.len() as f64,
        min: loads.iter().copied().fold(f64::INFINITY, f64::min),
        gap: stream_stats.mean_gap(now),
        stream_duration: stream_stats.mean_duration(),
        own_requests: candidates.iter().map(|candidate| candidate.own).sum(),
        inactive_for: request.state.liveness.inactive_for(now),
    };
    if load.is_stalled() && request.state.liveness.may_probe(now) {
        load.inactive_for = None;
    }
    load
}
