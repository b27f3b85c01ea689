use smallvec::SmallVec;

use crate::direct::Upstream;
use crate::entry::Failure;
use crate::membership::GroupName;
use crate::outcome::{Outcome, Reason, Refusal};

/// Maximum number of attempts that did not reach the intended upstream.
const MAX_UNREACHED: u32 = 4;

/// Attempts made for one request.
#[derive(Clone, Debug, Default)]
pub(in crate::direct) struct AttemptHistory {
    /// Number of attempts started.
    pub(in crate::direct) attempts: u32,
    /// Number of attempts that reached the intended upstream, as far as is known.
    reached: u32,
    /// Number of attempts whose connections broke while the request ran.
    pub(in crate::direct) broken: u32,
    /// Whether this is the trial of a quarantined request.
    pub(in crate::direct) has_trial: bool,
    /// Whether an attempt without a usable response may have run.
    may_have_run: bool,
    /// Ids of the upstreams that were tried.
    tried: SmallVec<[String; 4]>,
    /// Group that failed the last attempt, if it may no longer run.
    failed_group: Option<GroupName>,
}

impl AttemptHistory {
    /// Records the start of an attempt at an upstream.
    pub(in crate::direct) fn record_start(&mut self, upstream: &str) {
        self.attempts += 1;
        self.reached += 1;
        self.tried.push(upstream.to_owned());
    }

    /// Returns whether an upstream is not draining and was not tried yet.
    pub(in crate::direct) fn may_try(&self, upstream: &Upstream) -> bool {
        !upstream.is_draining() && !self.tried.contains(&upstream.listed.id)
    }

    /// Records that the last attempt failed in a way that shows that the group may no longer run.
    pub(in crate::direct) fn record_group_failure(&mut self, group: &GroupName) {
        self.failed_group = Some(group.clone());
    }

    /// Returns whether this group failed the last attempt and may no longer run.
    pub(in crate::direct) fn has_failed_in(&self, group: &GroupName) -> bool {
        self.failed_group.as_ref() == Some(group)
    }

    /// Returns whether any attempt reached the intended upstream.
    pub(in crate::direct) const fn reached_upstream(&self) -> bool {
        self.reached > 0
    }

    /// Returns whether an attempt reached no upstream.
    pub(in crate::direct) const fn has_missed(&self) -> bool {
        self.attempts > self.reached
    }

    /// Returns whether the trial of a quarantined request goes on: it has reached no upstream yet.
    pub(in crate::direct) const fn may_continue_trial(&self) -> bool {
        self.has_trial && !self.may_have_run
    }

    /// Records how an attempt ended.
    pub(in crate::direct) fn record_failure(&mut self, failure: Failure) {
        self.may_have_run |= failure.outcome == Outcome::Unknown;
        if matches!(failure.reason, Reason::UpstreamDown | Reason::WrongService) {
            self.reached -= 1;
        }
    }

    /// Returns whether another attempt is allowed, the retry budget aside.
    pub(in crate::direct) fn allows_retry(
        &self,
        failure: Failure,
        may_rerun: bool,
        max_attempts: u32,
    ) -> bool {
        let unreached = self.attempts - self.reached;
        let safe = failure.outcome == Outcome::NotRun || may_rerun;
        safe && self.reached < max_attempts && unreached < MAX_UNREACHED
    }

    /// Returns the refusal for the caller. Once an attempt may have run, later attempts can't undo
    /// that, so the outcome stays unknown.
    pub(in crate::direct) const fn refusal(&self, reason: Reason) -> Refusal {
        if self.may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
    }
}
