use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::{CrashSign, SuspectedAttempt};
use crate::entry::CrashKeys;

/// Time after the end of an attempt within which the end of its upstream means that it crashed
/// under the request. An upstream that ends silently is listed for some seconds.
const SUSPICION_TIME: Duration = Duration::from_secs(8);
/// Time within which the connections of all requests break when an upstream crashes.
const BREAK_WINDOW: Duration = Duration::from_millis(200);

/// The attempts at one upstream that recently ended as if it had crashed, and who checks whether it
/// has.
#[derive(Debug, Default)]
pub(in crate::direct) struct UpstreamSuspects(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    attempts: SmallVec<[SuspectedAttempt; 2]>,
    /// Whether a task is about to check if the upstream still listens.
    probing: bool,
    /// Whether a task waits for the upstream's end.
    watching: bool,
}

impl UpstreamSuspects {
    /// Locks the state, with old attempts dropped.
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let is_recent = |attempt: &SuspectedAttempt| {
            now.saturating_duration_since(attempt.ended) < SUSPICION_TIME
        };
        state.attempts.retain(|attempt| is_recent(attempt));
        state
    }

    /// Remembers that an attempt ended as if the upstream had crashed. It takes the place of an
    /// earlier one of the same request, after which the upstream lived on.
    pub(super) fn add(&self, attempt: SuspectedAttempt) {
        let mut state = self.lock();
        state.attempts.retain(|other| other.keys.request != attempt.keys.request);
        state.attempts.push(attempt);
    }

    /// Removes all attempts, and returns those that were in flight as the upstream crashed, if it
    /// has ended. A crash breaks all connections at once, so what broke earlier did so while the
    /// upstream lived.
    pub(super) fn take(&self) -> SmallVec<[SuspectedAttempt; 2]> {
        let mut attempts = std::mem::take(&mut self.lock().attempts);
        let is_broken = |attempt: &SuspectedAttempt| attempt.sign == CrashSign::ConnectionBroken;
        let last = attempts.iter().filter(|attempt| is_broken(attempt)).map(|a| a.ended).max();
        attempts.retain(|attempt| {
            !is_broken(attempt) || last.is_some_and(|last| attempt.ended + BREAK_WINDOW >= last)
        });
        attempts
    }

    /// Returns the keys of the attempts that ended before `time` and whose answers had gone on.
    pub(super) fn progressed_before(&self, time: Instant) -> SmallVec<[CrashKeys; 2]> {
        let state = self.lock();
        let fits = |attempt: &&SuspectedAttempt| attempt.progressed && attempt.ended < time;
        state.attempts.iter().filter(fits).map(|attempt| attempt.keys.clone()).collect()
    }

    /// Returns whether a request that is suspected here is suspected at another upstream as well.
    pub(super) fn shares_any(&self, other: &Self) -> bool {
        let fingerprints: SmallVec<[u64; 4]> = self.lock().fingerprints().collect();
        other.lock().fingerprints().any(|other| fingerprints.contains(&other))
    }

    /// Returns when the first of the attempts ended, if there are any.
    pub(super) fn since(&self) -> Option<Instant> {
        self.lock().attempts.iter().map(|attempt| attempt.ended).min()
    }

    /// Returns until when the newest suspicion lasts. If there is none, the watch is over.
    pub(super) fn watch_until(&self) -> Option<Instant> {
        let mut state = self.lock();
        let newest = state.attempts.last().map(|attempt| attempt.ended + SUSPICION_TIME);
        state.watching = newest.is_some();
        newest
    }

    /// Returns whether the caller is to wait for the upstream's end: nobody else does.
    pub(super) fn begin_watch(&self) -> bool {
        !std::mem::replace(&mut self.lock().watching, true)
    }

    /// Returns whether the caller is to check if the upstream listens: nobody else is about to.
    pub(super) fn begin_probe(&self) -> bool {
        !std::mem::replace(&mut self.lock().probing, true)
    }

    /// Records that the check begins, so that it does not cover what breaks from now on.
    pub(super) fn end_probe(&self) {
        self.lock().probing = false;
    }
}

impl State {
    fn fingerprints(&self) -> impl Iterator<Item = u64> {
        self.attempts.iter().map(|attempt| attempt.keys.request)
    }
}
