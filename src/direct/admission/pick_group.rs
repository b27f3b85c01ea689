use std::sync::Arc;

use smallvec::{SmallVec, smallvec};
use tokio::time::Instant;

use crate::admission::{Decision, LoadEstimate, Offer};
use crate::direct::attempts::AttemptHistory;
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::Dispatcher;
use crate::direct::groups::EligibleGroup;
use crate::direct::{
    Candidate, EngineLoad, GroupCondition, GroupLoad, Membership, Upstream, choose_group,
    load_share,
};
use crate::outcome::{Reason, Refusal};

/// Upper bound of the random amount, in requests per upstream, that keeps entries with the same
/// reports from all choosing the same group.
const TIE_BREAK_SPREAD: f64 = 0.3;

/// Upstreams of one group, with their membership by the group's row.
type Members<'m, 'u> = (Option<&'m Membership>, SmallVec<[&'u Arc<Upstream>; 16]>);

/// Refusal of a request by the admission of a group, with the load that it is based on.
type Refused = (Decision, LoadEstimate);

/// State of all groups of a service together, on which the treatment of each depends.
#[derive(Clone, Copy, Debug)]
struct GroupOverview {
    /// Whether a group runs.
    has_running: bool,
    /// Whether a group runs at its full share.
    has_full: bool,
    /// Number of eligible upstreams of all groups.
    upstreams: usize,
}

impl GroupOverview {
    fn new(groups: &[EligibleGroup<'_>], now: Instant) -> Self {
        let running =
            || groups.iter().map(|group| &group.state.recovery).filter(|it| it.is_running());
        Self {
            has_running: running().next().is_some(),
            has_full: running().any(|recovery| recovery.share(now) >= 1.0),
            upstreams: groups.iter().map(|group| group.upstreams.len()).sum(),
        }
    }
}

impl Dispatcher {
    /// Divides upstreams by their groups.
    pub(super) fn divide<'u>(
        &self,
        request: &CheckedRequest,
        eligible: &[&'u Arc<Upstream>],
        now: Instant,
    ) -> SmallVec<[EligibleGroup<'u>; 1]> {
        let Some(memberships) = self.group_directory.memberships() else {
            let state = request.state.group(None);
            return smallvec![EligibleGroup::new(state, None, SmallVec::from(eligible), now)];
        };
        let service = &request.service.name;
        request.state.drop_gone(service, &memberships);
        let mut groups: SmallVec<[Members<'_, 'u>; 4]> = SmallVec::new();
        for upstream in eligible {
            let membership = memberships.get(service, &upstream.listed.id);
            let name = membership.map(|membership| &membership.group);
            let is_group =
                |(other, _): &&mut Members<'_, 'u>| other.map(|other| &other.group) == name;
            match groups.iter_mut().find(is_group) {
                Some((_, members)) => members.push(upstream),
                None => groups.push((membership, smallvec![*upstream])),
            }
        }
        let with_state = |(membership, upstreams): Members<'_, 'u>| {
            let row_time = membership.map(|membership| membership.read_at);
            EligibleGroup::new(request.state.group(membership), row_time, upstreams, now)
        };
        groups.into_iter().map(with_state).collect()
    }

    /// Chooses the group in which a request is expected to be served soonest. Admission is checked
    /// before the first attempt only. If all groups refuse, so does this with the shortest of their
    /// times.
    pub(super) fn pick_group<'g, 'u>(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        groups: &'g [EligibleGroup<'u>],
        now: Instant,
    ) -> Result<&'g EligibleGroup<'u>, Refusal> {
        let is_first = history.attempts == 0;
        let offer = (is_first && request.service.engine.is_some()).then(|| request.offer());
        if let Some(offer) = &offer {
            record_arrival(request, offer, groups, now);
        }
        let overview = GroupOverview::new(groups, now);
        let mut refused: SmallVec<[Refused; 4]> = SmallVec::new();
        let mut loads: SmallVec<[GroupLoad; 4]> = SmallVec::new();
        for group in groups {
            // Without a group that can take the load, a recovering one takes what it can.
            let share = if overview.has_full { group.state.recovery.share(now) } else { 1.0 };
            let engine_load = self.engine_load(request, group, share, now);
            let stalled = engine_load.filter(EngineLoad::is_stalled);
            if let Some(load) = stalled {
                self.record_stall(request, &group.state, load.inactive_for, now);
            }
            let refusal = offer.as_ref().zip(engine_load).and_then(|(offer, engine_load)| {
                admission_refusal(request, offer, group, engine_load, overview.upstreams, now)
            });
            let admits = refusal.is_none();
            refused.extend(refusal);
            let may_probe = overview.has_running && is_first && admits && stalled.is_none();
            loads.push(GroupLoad {
                condition: condition(request, history, group, may_probe, now),
                admits,
                ..group_load(request, group, engine_load, share)
            });
        }
        let chosen = choose_group(&loads).map(|chosen| &groups[chosen]);
        let Some(offer) = offer else {
            return chosen.ok_or(history.refusal(Reason::NoUpstream));
        };
        let Some(chosen) = chosen else {
            return Err(self.refuse(request, history, &offer, &refused, now));
        };
        self.meter.decided(offer.priority, true);
        request.state.admission.record_admitted(&offer, now);
        Ok(chosen)
    }

    /// Refuses a request that no group admits, with the shortest of their times.
    fn refuse(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        offer: &Offer,
        refused: &[Refused],
        now: Instant,
    ) -> Refusal {
        let soonest = refused.iter().min_by_key(|(decision, _)| decision.wait);
        let Some((decision, load)) = soonest else {
            return history.refusal(Reason::NoUpstream);
        };
        self.meter.decided(offer.priority, false);
        let admission = &request.state.admission;
        let retry_after = admission.refuse(offer, load, decision, rand::random(), now);
        self.log_not_admitted(request, load, &decision.basis);
        Refusal::not_run(Reason::Overload).retry_after(retry_after)
    }

    /// Returns whether a request whose group does not run may go on in another one.
    pub(in crate::direct) fn has_running_group(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
    ) -> bool {
        let Some(memberships) = self.group_directory.memberships() else {
            return false;
        };
        let service = &request.service.name;
        let upstreams = self.roster.service_upstreams(service);
        upstreams.iter().filter(|upstream| history.may_try(upstream)).any(|upstream| {
            let group = request.state.group(memberships.get(service, &upstream.listed.id));
            !history.has_failed_in(&group.name) && group.recovery.is_running()
        })
    }
}

/// Records the arrival of a request, with this entry's load on all groups.
fn record_arrival(
    request: &CheckedRequest,
    offer: &Offer,
    groups: &[EligibleGroup<'_>],
    now: Instant,
) {
    let own_requests = groups.iter().map(EligibleGroup::own_requests).sum();
    let candidates = groups.iter().flat_map(|group| group.candidates.iter().copied());
    let candidates: SmallVec<[Candidate; 16]> = candidates.collect();
    request.state.admission.record_arrival(offer, own_requests, load_share(&candidates), now);
}

/// Decides whether a group admits a request. Returns the decision if it does not.
fn admission_refusal(
    request: &CheckedRequest,
    offer: &Offer,
    group: &EligibleGroup<'_>,
    engine_load: EngineLoad,
    service_engines: usize,
    now: Instant,
) -> Option<Refused> {
    let engine_load = probed(engine_load, group, now);
    let EligibleGroup { candidates, loads, .. } = group;
    let estimate = LoadEstimate::new(engine_load, candidates, loads, service_engines);
    let decision = request.state.admission.decide(offer, &estimate, now);
    (!decision.is_admitted).then_some((decision, estimate))
}

/// Returns the load of a group on which admission is decided. If it is stalled and may be probed,
/// it does not count as stalled for this request, which is the probe.
fn probed(load: EngineLoad, group: &EligibleGroup<'_>, now: Instant) -> EngineLoad {
    if load.is_stalled() && group.state.liveness.may_probe(now) {
        EngineLoad { inactive_for: None, ..load }
    } else {
        load
    }
}

/// Returns the load of a group by which it is compared with the others, as if it ran and admitted
/// the request.
fn group_load(
    request: &CheckedRequest,
    group: &EligibleGroup<'_>,
    engine_load: Option<EngineLoad>,
    share: f64,
) -> GroupLoad {
    let targets = request.route.latency_targets();
    let gap = engine_load.and_then(|load| load.gap);
    let gap_ratio = gap.zip(targets.gap).map(|(gap, target)| gap.div_duration_f64(target));
    let wait = engine_load.map(|load| load.expected_wait(&targets)).unwrap_or_default();
    let silence = engine_load.and_then(|load| load.silence()).unwrap_or_default();
    GroupLoad {
        condition: GroupCondition::Running,
        admits: true,
        wait: wait.max(silence),
        gap_ratio: gap_ratio.unwrap_or_default(),
        load: (group.mean_load() + rand::random_range(0.0..TIE_BREAK_SPREAD)) / share,
    }
}

/// Returns the condition of a group for a request.
fn condition(
    request: &CheckedRequest,
    history: &AttemptHistory,
    group: &EligibleGroup<'_>,
    may_probe: bool,
    now: Instant,
) -> GroupCondition {
    let recovery = &group.state.recovery;
    if history.has_failed_in(&group.state.name) {
        GroupCondition::Down
    } else if may_probe
        && recovery.claim_probe(now, group.row_time, request.route.delivery.may_rerun())
    {
        GroupCondition::Probe
    } else {
        recovery.condition()
    }
}
