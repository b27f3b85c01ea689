use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::direct::SilenceLimit;

/// Maximum gap between two activities that still counts as active time.
const MAX_ACTIVITY_GAP: Duration = Duration::from_millis(250);
/// Interval between probe requests to stalled upstreams.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Activity observed from any upstream of a service.
///
/// The active time advances as long as any upstream shows activity. An upstream that shows none
/// while it advances is stuck. When a whole group is stalled, the active time does not advance, so
/// no upstream is taken for stuck.
#[derive(Debug, Default)]
pub struct Liveness {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    active_time: Duration,
    last_activity: Option<Instant>,
    /// When the last probe request was sent to stalled upstreams.
    last_probe: Option<Instant>,
    silence_limit: SilenceLimit,
}

impl Liveness {
    /// Records activity of any upstream and returns the active time.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Liveness;
    /// # use tokio::time::Instant;
    /// let liveness = Liveness::default();
    /// let now = Instant::now();
    /// liveness.record_activity(now);
    /// liveness.record_activity(now + Duration::from_millis(200));
    /// let later = now + Duration::from_secs(9);
    /// assert_eq!(liveness.record_activity(later), Duration::from_millis(200));
    /// ```
    pub fn record_activity(&self, now: Instant) -> Duration {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let gap =
            state.last_activity.map(|last_activity| now.saturating_duration_since(last_activity));
        if let Some(gap) = gap.filter(|gap| *gap <= MAX_ACTIVITY_GAP) {
            state.active_time += gap;
        }
        state.last_activity = Some(now);
        state.active_time
    }

    /// Returns the time since the last activity, or `None` before the first one.
    pub fn inactive_for(&self, now: Instant) -> Option<Duration> {
        let last_activity = self.state.lock().unwrap_or_else(PoisonError::into_inner).last_activity;
        last_activity.map(|last_activity| now.saturating_duration_since(last_activity))
    }

    /// Returns whether a request may be sent to probe whether the upstreams are still stalled, at
    /// most one per interval.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Liveness;
    /// # use tokio::time::Instant;
    /// let liveness = Liveness::default();
    /// let now = Instant::now();
    /// assert!(liveness.may_probe(now));
    /// assert!(!liveness.may_probe(now));
    /// assert!(liveness.may_probe(now + Duration::from_secs(1)));
    /// ```
    pub fn may_probe(&self, now: Instant) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROBE_INTERVAL;
        if state.last_probe.is_some_and(is_recent) {
            return false;
        }
        state.last_probe = Some(now);
        true
    }

    /// Records the active time from a request to its first response, or for how long one that was
    /// given up on had none.
    pub fn record_response_time(&self, time: Duration) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).silence_limit.record(time);
    }

    /// Returns for how much active time an upstream may be silent.
    pub fn silence_limit(&self) -> Duration {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).silence_limit.get()
    }

    /// Returns the active time.
    pub fn active_time(&self) -> Duration {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).active_time
    }
}
