use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::GroupCondition;

/// Time over which a group regains its share after its first response.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Share that a group has at its first response.
const INITIAL_SHARE: f64 = 0.1;
/// Minimum time between two probes of a group that is not known to run.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which only requests that may run again are sent as probes. A group that has lost a rank
/// usually runs again by then; until then it may hold the probe.
const SAFE_PROBE_TIME: Duration = Duration::from_secs(4);

/// Whether a group runs, judged by its responses, and how much of its share it has regained.
#[derive(Debug, Default)]
pub struct GroupRecovery(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    last_probe: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    /// No response yet.
    #[default]
    Unknown,
    Running,
    /// The group has stalled, or its ranks refused requests, since this time.
    Down(Instant),
    /// The group has responded again since this time.
    Recovering(Instant),
}

impl GroupRecovery {
    /// Records that the group stalls, or that its ranks refuse requests although nothing runs there.
    /// Returns whether this was not known.
    pub fn record_failure(&self, now: Instant) -> bool {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !matches!(state.phase, Phase::Down(_));
        if is_new {
            *state = State { phase: Phase::Down(now), last_probe: Some(now) };
        }
        is_new
    }

    /// Records that the group runs a request. Returns for how long it was down, if it was.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{GroupCondition, GroupRecovery};
    /// # use tokio::time::Instant;
    /// let (recovery, now) = (GroupRecovery::default(), Instant::now());
    /// recovery.record_failure(now);
    /// assert_eq!(recovery.condition(), GroupCondition::Down);
    /// recovery.record_response(now);
    /// assert_eq!(recovery.condition(), GroupCondition::Running);
    /// assert_eq!(recovery.share(now + Duration::from_millis(1_500)), 0.5);
    /// assert_eq!(recovery.share(now + Duration::from_secs(3)), 1.0);
    /// ```
    pub fn record_response(&self, now: Instant) -> Option<Duration> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (phase, down_time) = match state.phase {
            Phase::Unknown => (Phase::Running, None),
            Phase::Down(since) => {
                (Phase::Recovering(now), Some(now.saturating_duration_since(since)))
            }
            phase => (phase, None),
        };
        state.phase = phase;
        down_time
    }

    /// Returns the condition of the group.
    pub fn condition(&self) -> GroupCondition {
        match self.0.lock().unwrap_or_else(PoisonError::into_inner).phase {
            Phase::Unknown => GroupCondition::Unknown,
            Phase::Running | Phase::Recovering(_) => GroupCondition::Running,
            Phase::Down(_) => GroupCondition::Down,
        }
    }

    /// Returns whether the group responds.
    pub fn is_running(&self) -> bool {
        self.condition() == GroupCondition::Running
    }

    /// Returns the share of its slots that the group may use.
    pub fn share(&self, now: Instant) -> f64 {
        match self.0.lock().unwrap_or_else(PoisonError::into_inner).phase {
            Phase::Recovering(since) => {
                let time = now.saturating_duration_since(since);
                time.div_duration_f64(RECOVERY_TIME).clamp(INITIAL_SHARE, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns whether a request is to be sent to a group that is not known to run, and records
    /// that. `row_time` is when the present row of the group was read: a new row makes a probe due.
    /// `may_rerun` is whether the request may run again.
    ///
    /// ```
    /// # use ebonyusher::direct::GroupRecovery;
    /// # use tokio::time::Instant;
    /// let (recovery, now) = (GroupRecovery::default(), Instant::now());
    /// assert!(recovery.claim_probe(now, None, true));
    /// assert!(!recovery.claim_probe(now, None, true));
    /// ```
    pub fn claim_probe(&self, now: Instant, row_time: Option<Instant>, may_rerun: bool) -> bool {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_safe = match state.phase {
            Phase::Unknown => true,
            Phase::Down(since) => {
                may_rerun || now.saturating_duration_since(since) > SAFE_PROBE_TIME
            }
            Phase::Running | Phase::Recovering(_) => false,
        };
        let is_due = state.last_probe.is_none_or(|last| {
            now.saturating_duration_since(last) >= PROBE_INTERVAL || row_time > Some(last)
        });
        if is_safe && is_due {
            state.last_probe = Some(now);
        }
        is_safe && is_due
    }
}
