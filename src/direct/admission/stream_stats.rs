use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Smoothing factor of the exponentially weighted moving average of gaps between events.
const GAP_SMOOTHING: f64 = 0.05;
/// Smoothing factor of the exponentially weighted moving average of stream durations.
const DURATION_SMOOTHING: f64 = 0.05;
/// Time without events after which the mean gap is no longer valid.
const MAX_GAP_AGE: Duration = Duration::from_secs(2);

/// Current speed and duration of the streams of a service.
#[derive(Debug, Default)]
pub struct StreamStats {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// In seconds.
    mean_gap: f64,
    /// In seconds; 0 before the first complete stream.
    mean_duration: f64,
    last_event: Option<Instant>,
}

impl StreamStats {
    /// Records the gap before an event of a stream.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::StreamStats;
    /// # use tokio::time::Instant;
    /// let stream_stats = StreamStats::default();
    /// let now = Instant::now();
    /// assert_eq!(stream_stats.mean_gap(now), None);
    /// stream_stats.record_gap(Duration::from_millis(50), now);
    /// assert_eq!(stream_stats.mean_gap(now), Some(Duration::from_millis(50)));
    /// ```
    pub fn record_gap(&self, gap: Duration, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = state
            .last_event
            .is_some_and(|last_event| now.saturating_duration_since(last_event) < MAX_GAP_AGE);
        let smoothing = if is_recent { GAP_SMOOTHING } else { 1.0 };
        state.mean_gap += smoothing * (gap.as_secs_f64() - state.mean_gap);
        state.last_event = Some(now);
    }

    /// Records the duration of a complete stream, counted from its first event.
    pub fn record_duration(&self, duration: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let smoothing = if state.mean_duration > 0.0 { DURATION_SMOOTHING } else { 1.0 };
        state.mean_duration += smoothing * (duration.as_secs_f64() - state.mean_duration);
    }

    /// Returns the mean gap between events, or `None` without recent events.
    pub fn mean_gap(&self, now: Instant) -> Option<Duration> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = state
            .last_event
            .is_some_and(|last_event| now.saturating_duration_since(last_event) < MAX_GAP_AGE);
        is_recent.then(|| Duration::from_secs_f64(state.mean_gap))
    }

    /// Returns the mean duration of a stream, or `None` before the first complete one.
    pub fn mean_duration(&self) -> Option<Duration> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.mean_duration > 0.0).then(|| Duration::from_secs_f64(state.mean_duration))
    }
}
