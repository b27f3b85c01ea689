use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest pause between two events.
const GAP_GAIN: f64 = 0.05;
/// Weight of the newest stream's length.
const LIFE_GAIN: f64 = 0.05;
/// Time without events after which the pace is no longer known.
const MEMORY: Duration = Duration::from_secs(2);

/// How fast the streams of a service come at present.
#[derive(Debug, Default)]
pub struct Pace {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    gap: f64,
    life: f64,
    at: Option<Instant>,
}

impl Pace {
    /// Takes in the pause before an event of a stream.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Pace;
    /// # use tokio::time::Instant;
    /// let pace = Pace::default();
    /// let now = Instant::now();
    /// assert_eq!(pace.gap(now), None);
    /// pace.event(Duration::from_millis(50), now);
    /// assert_eq!(pace.gap(now), Some(Duration::from_millis(50)));
    /// ```
    pub fn event(&self, pause: Duration, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let known = state.at.is_some_and(|at| now.saturating_duration_since(at) < MEMORY);
        let gain = if known { GAP_GAIN } else { 1.0 };
        state.gap += gain * (pause.as_secs_f64() - state.gap);
        state.at = Some(now);
    }

    /// Takes in how long a whole stream took from its first event on.
    pub fn whole(&self, life: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let gain = if state.life > 0.0 { LIFE_GAIN } else { 1.0 };
        state.life += gain * (life.as_secs_f64() - state.life);
    }

    /// Mean pause between events, nothing if none came of late.
    pub fn gap(&self, now: Instant) -> Option<Duration> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = state.at.is_some_and(|at| now.saturating_duration_since(at) < MEMORY);
        fresh.then(|| Duration::from_secs_f64(state.gap))
    }

    /// Mean length of a stream, nothing before the first whole one.
    pub fn life(&self) -> Option<Duration> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.life > 0.0).then(|| Duration::from_secs_f64(state.life))
    }
}
