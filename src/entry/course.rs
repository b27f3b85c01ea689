use std::time::Duration;

use super::Failure;
use crate::outcome::{Outcome, Reason, Refusal};

/// Most attempts at one request.
const MAX_ATTEMPTS: u32 = 5;
/// Attempts that broke off as if by a crash after which a request is not tried again.
const BREAKS_TO_STOP: u32 = 2;
const FIRST_BACKOFF: Duration = Duration::from_millis(5);
const LONGEST_BACKOFF: Duration = Duration::from_millis(400);
/// Pause before asking again for the answer of a request that still runs.
const PROGRESS_PAUSE: Duration = Duration::from_millis(100);
/// When a caller may come back after a refusal for want of upstreams.
const COME_BACK: Duration = Duration::from_secs(1);

/// Course of a request over its attempts.
#[derive(Debug)]
pub(super) struct Course {
    attempts: u32,
    /// Whether an attempt ended without telling whether it ran.
    unsure: bool,
    /// Attempts that broke off as if they had crashed the upstream.
    pub(super) breaks: u32,
    backoff: Duration,
}

impl Course {
    /// A request before its first attempt.
    pub(super) const fn new() -> Self {
        Self { attempts: 0, unsure: false, breaks: 0, backoff: FIRST_BACKOFF }
    }

    /// Whether no other attempt may be made, whatever it might bring.
    pub(super) const fn is_spent(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS || self.breaks >= BREAKS_TO_STOP
    }

    /// Takes in how an attempt ended.
    pub(super) fn note(&mut self, failure: Failure) {
        self.attempts += 1;
        self.unsure |= failure.outcome == Outcome::Unknown;
        self.breaks += u32::from(failure.reason == Reason::UpstreamLost);
    }

    /// What the caller is told: once an attempt may have run, no later one can take that back.
    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
        if self.unsure {
            return Refusal::unknown(reason);
        }
        let refusal = Refusal::not_run(reason);
        if reason.is_local() || reason == Reason::NoUpstream {
            return refusal.retry_after(COME_BACK);
        }
        refusal
    }

    /// Time until the next attempt after a failure for this reason.
    pub(super) fn pause_for(&self, reason: Reason) -> Duration {
        match reason {
            Reason::InProgress => PROGRESS_PAUSE,
            Reason::Leaving | Reason::UpstreamDown => Duration::ZERO,
            _ => self.backoff,
        }
    }

    /// Time until the next try, with jitter so that callers that failed together part.
    pub(super) fn next_pause(&mut self, reason: Reason) -> Duration {
        let pause = self.pause_for(reason);
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
        pause.mul_f64(rand::random_range(0.5..1.0))
    }
}
