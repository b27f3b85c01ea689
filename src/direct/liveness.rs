use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Longest pause between two signs of life after which the time between them still counts.
const MAX_ACTIVITY_GAP: Duration = Duration::from_millis(250);
/// Pause between two requests to upstreams that stand.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which the upstreams of a service, taken together, have shown life.
///
/// An upstream that is silent while this time goes on is stuck. When a whole group stands, it does
/// not go on, so nobody is taken for stuck.
#[derive(Debug, Default)]
pub struct Liveness {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    active_time: Duration,
    last_activity: Option<Instant>,
    /// When a request was last sent to find out whether the upstreams still stand.
    last_probe: Option<Instant>,
}

impl Liveness {
    /// Takes in a sign of life of any upstream, and gives the time so far.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Liveness;
    /// # use tokio::time::Instant;
    /// let liveness = Liveness::default();
    /// let now = Instant::now();
    /// liveness.record_activity(now);
    /// liveness.record_activity(now + Duration::from_millis(200));
    /// assert_eq!(liveness.record_activity(now + Duration::from_secs(9)), Duration::from_millis(200));
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

    /// Time without a sign of life, nothing before the first one.
    pub fn inactive_for(&self, now: Instant) -> Option<Duration> {
        let last_activity = self.state.lock().unwrap_or_else(PoisonError::into_inner).last_activity;
        last_activity.map(|last_activity| now.saturating_duration_since(last_activity))
    }

    /// Whether a request may be sent to find out if upstreams that stand still do, one in each pause.
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

    /// The time so far.
    pub fn active_time(&self) -> Duration {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).active_time
    }
}
