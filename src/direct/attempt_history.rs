use smallvec::SmallVec;

use crate::entry::Failure;
use crate::outcome::{Outcome, Reason, Refusal};

/// Attempts that did not reach the upstream they were meant for after which no other is made.
const MAX_UNREACHED: u32 = 4;

/// Course of a request over its attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptHistory {
    /// Attempts begun.
    pub(super) attempts: u32,
    /// Attempts that reached the upstream they were meant for.
    reached: u32,
    /// Whether one of them may have run without an answer to pass on.
    may_have_run: bool,
    /// Ids of the upstreams tried.
    tried: SmallVec<[String; 4]>,
}

impl AttemptHistory {
    /// Takes in that an attempt begins at an upstream.
    pub(super) fn record_start(&mut self, upstream: &str) {
        self.attempts += 1;
        self.reached += 1;
        self.tried.push(upstream.to_owned());
    }

    /// Whether an upstream was tried.
    pub(super) fn has_tried(&self, upstream: &str) -> bool {
        self.tried.iter().any(|tried| tried == upstream)
    }

    /// Whether any attempt reached the upstream it was meant for.
    pub(super) const fn reached_upstream(&self) -> bool {
        self.reached > 0
    }

    /// Takes in how an attempt ended.
    pub(super) fn record_failure(&mut self, failure: Failure) {
        self.may_have_run |= failure.outcome == Outcome::Unknown;
        if matches!(failure.reason, Reason::UpstreamDown | Reason::WrongService) {
            self.reached -= 1;
        }
    }

    /// Whether another attempt is allowed, its place in the budget aside.
    pub(super) fn allows_retry(
        &self,
        failure: Failure,
        may_rerun: bool,
        max_attempts: u32,
    ) -> bool {
        let unreached = self.attempts - self.reached;
        let safe = failure.outcome == Outcome::NotRun || may_rerun;
        safe && self.reached < max_attempts && unreached < MAX_UNREACHED
    }

    /// What the caller is told: once an attempt may have run, no later one takes that back.
    pub(super) const fn refusal(&self, reason: Reason) -> Refusal {
        if self.may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
    }
}
