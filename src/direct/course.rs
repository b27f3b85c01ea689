use smallvec::SmallVec;

use crate::entry::Failure;
use crate::outcome::{Outcome, Reason, Refusal};

/// Attempts that did not reach the upstream they were meant for after which no other is made.
const MAX_NOT_SENT: u32 = 4;

/// Course of a request over its attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Course {
    /// Attempts begun.
    pub(super) attempts: u32,
    /// Attempts that reached the upstream they were meant for.
    sent: u32,
    /// Whether one of them may have run without an answer to pass on.
    unsure: bool,
    /// Ids of the upstreams tried.
    tried: SmallVec<[String; 4]>,
}

impl Course {
    /// Takes in that an attempt begins at an upstream.
    pub(super) fn begin(&mut self, upstream: &str) {
        self.attempts += 1;
        self.sent += 1;
        self.tried.push(upstream.to_owned());
    }

    /// Whether an upstream was tried.
    pub(super) fn has_tried(&self, upstream: &str) -> bool {
        self.tried.iter().any(|tried| tried == upstream)
    }

    /// Whether any attempt reached the upstream it was meant for.
    pub(super) const fn is_sent(&self) -> bool {
        self.sent > 0
    }

    /// Takes in how an attempt ended.
    pub(super) fn note(&mut self, failure: Failure) {
        self.unsure |= failure.outcome == Outcome::Unknown;
        if matches!(failure.reason, Reason::UpstreamDown | Reason::WrongService) {
            self.sent -= 1;
        }
    }

    /// Whether another attempt is allowed, its place in the budget aside.
    pub(super) fn may_go_on(&self, failure: Failure, rerun: bool, max_attempts: u32) -> bool {
        let unsent = self.attempts - self.sent;
        let safe = failure.outcome == Outcome::NotRun || rerun;
        safe && self.sent < max_attempts && unsent < MAX_NOT_SENT
    }

    /// What the caller is told: once an attempt may have run, no later one takes that back.
    pub(super) const fn refusal(&self, reason: Reason) -> Refusal {
        if self.unsure { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
    }
}
