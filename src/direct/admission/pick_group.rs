use std::sync::Arc;
use std::time::Duration;

use smallvec::{SmallVec, smallvec};
use tokio::time::Instant;

use crate::direct::attempts::AttemptHistory;
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::Dispatcher;
use crate::direct::groups::EligibleGroup;
use crate::direct::{
    Admission, EngineLoad, GroupCondition, GroupLoad, Membership, Upstream, choose_group,
};
use crate::outcome::{Reason, Refusal};

/// Upper bound of the random amount, in requests per upstream, that keeps entries with the same
/// reports from all choosing the same group.
const TIE_BREAK_SPREAD: f64 = 0.3;

/// Upstreams of one group, with the row's statement that they are in it.
type Members<'m, 'u> = (Option<&'m Membership>, SmallVec<[&'u Arc<Upstream>; 16]>);

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
        let runs =
            |group: &EligibleGroup<'_>| group.state.recovery.condition() == GroupCondition::Running;
        let has_running = groups.iter().any(runs);
        let has_full =
            groups.iter().any(|group| runs(group) && group.state.recovery.share(now) >= 1.0);
        let is_first = history.attempts == 0;
        let mut least: Option<(Duration, EngineLoad)> = None;
        let mut loads: SmallVec<[GroupLoad; 4]> = SmallVec::new();
        for group in groups {
            // Without a group that can take the load, a recovering one takes what it can.
            let share = if has_full { group.state.recovery.share(now) } else { 1.0 };
            let mut engine_load = self.engine_load(request, group, share, now);
            let stalled = engine_load.filter(EngineLoad::is_stalled);
            if let Some(load) = stalled {
                self.record_stall(request, &group.state, load.inactive_for, now);
            }
            let mut load = group_load(request, group, engine_load, share);
            if let Some(engine_load) = engine_load.as_mut().filter(|_| is_first)
                && let Admission::Refuse(wait) = self.admit(request, group, engine_load, now)
            {
                load.admits = false;
                let refused = [(wait, *engine_load)];
                least = least.into_iter().chain(refused).min_by_key(|(wait, _)| *wait);
            }
            let may_probe = has_running && is_first && load.admits && stalled.is_none();
            load.condition = condition(request, history, group, may_probe, now);
            loads.push(load);
        }
        match (choose_group(&loads), least) {
            (Some(chosen), _) => Ok(&groups[chosen]),
            (None, Some((wait, load))) => {
                let capacity = load.capacity(&request.route.latency_targets());
                self.log_not_admitted(request, &load, capacity);
                Err(Refusal::not_run(Reason::Overload).retry_after(wait))
            }
            (None, None) => Err(history.refusal(Reason::NoUpstream)),
        }
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
            !history.has_failed_in(&group.name)
                && group.recovery.condition() == GroupCondition::Running
        })
    }
}

/// Returns the load of a group as the choice sees it.
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
