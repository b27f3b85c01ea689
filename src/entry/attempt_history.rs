use std::time::Duration;

use super::Failure;
use crate::outcome::{Outcome, Reason, Refusal};

/// Maximum number of attempts at one request.
const MAX_ATTEMPTS: u32 = 5;
/// Number of suspected crashes after which a request is not retried.
const SUSPECTED_CRASHES_TO_STOP: u32 = 2;
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Delay before asking again for the response to a request that is still running.
const IN_PROGRESS_DELAY: Duration = Duration::from_millis(100);
/// Time after which a caller may retry a request that no upstream accepted.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The failed attempts at a request so far.
#[derive(Debug)]
pub(super) struct AttemptHistory {
    attempts: u32,
    /// Whether the outcome of any attempt is unknown.
    may_have_run: bool,
    /// Attempts whose upstream broke off its response, as it does when it crashes.
    pub(super) suspected_crashes: u32,
    backoff: Duration,
}

impl AttemptHistory {
    /// Starts the history of a request that has not been tried yet.
    pub(super) const fn new() -> Self {
        Self { attempts: 0, may_have_run: false, suspected_crashes: 0, backoff: INITIAL_BACKOFF }
    }

    /// Whether the limit of attempts or of suspected crashes is reached. No other attempt may be
    /// made then, whatever the reason of the last failure.
    pub(super) const fn is_exhausted(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS || self.suspected_crashes >= SUSPECTED_CRASHES_TO_STOP
    }

    /// Records a failed attempt.
    pub(super) fn record(&mut self, failure: Failure) {
        self.attempts += 1;
        self.may_have_run |= failure.outcome == Outcome::Unknown;
        self.suspected_crashes += u32::from(failure.reason == Reason::UpstreamLost);
    }

    /// Returns the refusal for the caller. Once an attempt may have run, the outcome stays unknown
    /// even if later attempts did not run.
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

    /// Returns the delay before the next attempt after a failure for this reason, without jitter.
    pub(super) fn backoff_for(&self, reason: Reason) -> Duration {
        match reason {
            Reason::InProgress => IN_PROGRESS_DELAY,
            Reason::Leaving | Reason::UpstreamDown => Duration::ZERO,
            _ => self.backoff,
        }
    }

    /// Returns the delay before the next attempt with jitter, and doubles the backoff. The jitter
    /// spreads the retries of requests that failed together.
    pub(super) fn next_backoff(&mut self, reason: Reason) -> Duration {
        let delay = self.backoff_for(reason);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        delay.mul_f64(rand::random_range(0.5..1.0))
    }
}
