use std::sync::Arc;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::capacity::SentRequest;
use crate::direct::attempts::AttemptHistory;
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::Dispatcher;
use crate::direct::groups::{EligibleGroup, GroupState};
use crate::direct::{Candidate, EngineLoad, Upstream, choose};
use crate::outcome::{Reason, Refusal};

/// Upper bound of the random amount, in requests, that breaks ties between equally loaded
/// upstreams. It is less than one request.
const TIE_BREAK_SPREAD: f64 = 0.3;

/// A chosen upstream, with the state that the choice was based on.
#[derive(Debug)]
pub(in crate::direct) struct Chosen {
    pub(in crate::direct) upstream: Arc<Upstream>,
    pub(in crate::direct) candidate: Candidate,
    pub(in crate::direct) group: Arc<GroupState>,
    /// When the row that lists the group was first read; `None` for the group without a row.
    pub(in crate::direct) row_time: Option<Instant>,
    /// What is known of the request at this upstream, if speed and capacity are learned.
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
        let mut eligible: SmallVec<[&Arc<Upstream>; 16]> =
            upstreams.iter().filter(|upstream| history.may_try(upstream)).collect();
        self.drop_evacuated(&mut eligible, history)?;
        self.drop_limited(&mut eligible, request, history, now)?;
        prefer_sound(&mut eligible, history);
        let groups = self.divide(request, &eligible, now);
        let group = self.pick_group(request, history, &groups, now)?;
        let EligibleGroup { upstreams, candidates, loads, .. } = group;
        let learned = request.is_learned.then(|| self.rate(request, group, now));
        if let Some(learned) = learned.as_ref().filter(|_| history.attempts == 0) {
            self.admit_plain(request, learned, loads, now)?;
        }
        let is_local = |at: usize| upstreams[at].listed.domain == self.domain;
        let expected = learned.as_ref().map(|learned| learned.expected_loads(candidates, loads));
        let expected = expected.as_ref().unwrap_or(loads);
        let chosen =
            choose(candidates, expected, is_local, |_| rand::random_range(0.0..TIE_BREAK_SPREAD));
        let chosen = chosen.ok_or(history.refusal(Reason::NoUpstream))?;
        self.limits.record_send(&upstreams[chosen].listed, now);
        Ok(Chosen {
            upstream: Arc::clone(upstreams[chosen]),
            candidate: candidates[chosen],
            group: Arc::clone(&group.state),
            row_time: group.row_time,
            sent: learned.map(|learned| learned.sent_request(request, group, chosen)),
        })
    }

    /// Drops the upstreams that may not get another request from this entry yet, by their limits,
    /// since they are cold, or by the pauses that they asked for. Refuses the request if that leaves none.
    fn drop_limited(
        &self,
        eligible: &mut SmallVec<[&Arc<Upstream>; 16]>,
        request: &CheckedRequest,
        history: &AttemptHistory,
        now: Instant,
    ) -> Result<(), Refusal> {
        let mut first = None;
        let has_limits = !self.limits.is_idle(now);
        eligible.retain(|upstream| {
            let limited = has_limits.then(|| self.limits.next_send(&upstream.listed, now));
            let next = limited.max(upstream.paused_until(now)).unwrap_or(now);
            first = first.into_iter().chain([(next, *upstream)]).min_by_key(|(next, _)| *next);
            next <= now
        });
        let Some((first, upstream)) = first.filter(|_| eligible.is_empty()) else {
            return Ok(());
        };
        let memberships = self.group_directory.memberships();
        let membership = memberships
            .as_ref()
            .and_then(|memberships| memberships.get(&request.service.name, &upstream.listed.id));
        let retry_after = request.state.group(membership).return_queue.enqueue(first, now);
        Err(history.refusal(Reason::UpstreamLimit).retry_after(retry_after))
    }

    /// Returns the load of a group whose upstreams are engines. `share` is the share of its slots
    /// that it may use.
    pub(super) fn engine_load(
        &self,
        request: &CheckedRequest,
        group: &EligibleGroup<'_>,
        share: f64,
        now: Instant,
    ) -> Option<EngineLoad> {
        let mut engine = request.service.engine.filter(|_| !group.loads.is_empty())?;
        let stream_stats = &group.state.stream_stats;
        if share < 1.0 {
            engine.slots = (f64::from(engine.slots) * share).round().max(1.0) as u32;
        }
        Some(EngineLoad {
            engine,
            mean: group.mean_load(),
            min: group.loads.iter().copied().fold(f64::INFINITY, f64::min),
            gap: stream_stats.mean_gap(now),
            stream_duration: stream_stats.mean_duration(),
            own_requests: group.own_requests(),
            learned_capacity: request
                .is_learned
                .then(|| group.state.capacity.capacity(now))
                .flatten(),
            inactive_for: group.state.liveness.inactive_for(now),
        })
    }
}

/// Drops, for a request that has met an upstream which can't be reached, those that have not answered
/// since they failed, unless that leaves none. Whether they are back is found out by one request
/// each, so that none meets only dead ones while others live.
fn prefer_sound(eligible: &mut SmallVec<[&Arc<Upstream>; 16]>, history: &AttemptHistory) {
    if history.has_missed() && eligible.iter().any(|upstream| upstream.is_sound()) {
        eligible.retain(|upstream| upstream.is_sound());
    }
}
