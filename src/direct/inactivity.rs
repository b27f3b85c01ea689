use std::time::Duration;

use tokio::time::Instant;

/// Silence after which new requests go to other upstreams: an engine's events are a tenth of a
/// second apart.
const AVOID_AFTER: Duration = Duration::from_millis(400);
/// Silence after which what may be repeated is moved. Callers leave after two seconds.
const STUCK_AFTER: Duration = Duration::from_millis(800);
/// Pause after which an upstream that all callers have left is tried with one request.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// For how long an upstream with requests has shown no sign of life, counted in the time of its
/// service's [`Liveness`](super::Liveness).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Inactivity {
    /// Time at the last sign of life, or at the first request after it; nothing if no answer is
    /// due.
    since: Option<Duration>,
    /// When the last request there ended while it was silent.
    idle_since: Option<Instant>,
}

impl Inactivity {
    /// Takes in that a request is sent there.
    pub fn record_request(&mut self, active_time: Duration) {
        if self.since.is_none() || self.idle_since.take().is_some() {
            self.since = Some(active_time);
        }
    }

    /// Takes in a sign of life.
    pub fn record_activity(&mut self, active_time: Duration) {
        *self = Self { since: Some(active_time), idle_since: None };
    }

    /// Takes in that no request is there any longer.
    pub fn record_idle(&mut self, active_time: Duration, now: Instant) {
        if self.is_inactive(active_time) {
            self.idle_since = Some(now);
        } else {
            *self = Self::default();
        }
    }

    /// Until when new requests had better go elsewhere, if it is silent.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Inactivity;
    /// # use tokio::time::Instant;
    /// let mut silence = Inactivity::default();
    /// let now = Instant::now();
    /// silence.record_request(Duration::from_secs(1));
    /// assert_eq!(silence.avoid_until(Duration::from_millis(1_300), now), None);
    /// assert!(silence.avoid_until(Duration::from_millis(1_500), now).is_some());
    /// ```
    pub fn avoid_until(&self, active_time: Duration, now: Instant) -> Option<Instant> {
        let until = self.idle_since.unwrap_or(now) + RETRY_INTERVAL;
        (self.is_inactive(active_time) && until > now).then_some(until)
    }

    /// Whether what may be repeated had better be moved.
    pub fn is_stuck(&self, active_time: Duration) -> bool {
        self.duration(active_time) > STUCK_AFTER
    }

    fn is_inactive(&self, active_time: Duration) -> bool {
        self.duration(active_time) > AVOID_AFTER
    }

    fn duration(&self, active_time: Duration) -> Duration {
        self.since.map_or(Duration::ZERO, |since| active_time.saturating_sub(since))
    }
}
