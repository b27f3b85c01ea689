use std::time::Duration;

use super::Failure;
use crate::outcome::{Outcome, Reason, Refusal};

/// Most attempts at one request.
const MAX_ATTEMPTS: u32 = 5;
/// Attempts that broke off as if by a crash after which a request is not tried again.
const SUSPECTED_CRASHES_TO_STOP: u32 = 2;
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Pause before asking again for the answer of a request that still runs.
const IN_PROGRESS_DELAY: Duration = Duration::from_millis(100);
/// When a caller may come back after a refusal for want of upstreams.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Course of a request over its attempts.
#[derive(Debug)]
pub(super) struct AttemptHistory {
    attempts: u32,
    /// Whether an attempt ended without telling whether it ran.
    may_have_run: bool,
    /// Attempts that broke off as if they had crashed the upstream.
    pub(super) suspected_crashes: u32,
    backoff: Duration,
}

impl AttemptHistory {
    /// A request before its first attempt.
    pub(super) const fn new() -> Self {
        Self { attempts: 0, may_have_run: false, suspected_crashes: 0, backoff: INITIAL_BACKOFF }
    }

    /// Whether no other attempt may be made, whatever it might bring.
    pub(super) const fn is_exhausted(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS || self.suspected_crashes >= SUSPECTED_CRASHES_TO_STOP
    }

    /// Takes in how an attempt ended.
    pub(super) fn record(&mut self, failure: Failure) {
        self.attempts += 1;
        self.may_have_run |= failure.outcome == Outcome::Unknown;
        self.suspected_crashes += u32::from(failure.reason == Reason::UpstreamLost);
    }

    /// What the caller is told: once an attempt may have run, no later one can take that back.
    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
        if self.may_have_run {
            return Refusal::unknown(reason);
        }
        let refusal = Refusal::not_run(reason);
        if reason.may_succeed_elsewhere() || reason == Reason::NoUpstream {
            return refusal.retry_after(RETRY_AFTER);
        }
        refusal
    }

    /// Time until the next attempt after a failure for this reason.
    pub(super) fn backoff_for(&self, reason: Reason) -> Duration {
        match reason {
            Reason::InProgress => IN_PROGRESS_DELAY,
            Reason::Leaving | Reason::UpstreamDown => Duration::ZERO,
            _ => self.backoff,
        }
    }

    /// Time until the next try, with jitter so that callers that failed together part.
    pub(super) fn next_backoff(&mut self, reason: Reason) -> Duration {
        let delay = self.backoff_for(reason);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        delay.mul_f64(rand::random_range(0.5..1.0))
    }
}
