use std::time::Duration;

use tokio::time::Instant;

/// Share of the silence limit after which new requests go to other upstreams.
const AVOID_SHARE: f64 = 0.5;
/// Time after the end of its last request from which an inactive upstream without requests is tried
/// again.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Tracks for how long an upstream with requests in flight has shown no activity, measured in the
/// active time of its service's [`Liveness`](crate::direct::Liveness) and judged by its
/// [`SilenceLimit`](crate::direct::SilenceLimit).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Inactivity {
    /// Active time at the last activity or, if there was none since the upstream was idle, at the
    /// first request. `None` while it is idle, unless it was inactive when its last request ended.
    since: Option<Duration>,
    /// When the last request of the upstream ended, if the upstream was inactive then.
    idle_since: Option<Instant>,
}

impl Inactivity {
    /// Records that a request is sent to the upstream.
    pub fn record_request(&mut self, active_time: Duration) {
        if self.since.is_none() || self.idle_since.take().is_some() {
            self.since = Some(active_time);
        }
    }

    /// Records activity of the upstream.
    pub fn record_activity(&mut self, active_time: Duration) {
        *self = Self { since: Some(active_time), idle_since: None };
    }

    /// Records that the upstream has no more requests in flight.
    pub fn record_idle(&mut self, active_time: Duration, limit: Duration, now: Instant) {
        if self.is_inactive(active_time, limit) {
            self.idle_since = Some(now);
        } else {
            *self = Self::default();
        }
    }

    /// Returns until when new requests should avoid the upstream, if it is inactive.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::Inactivity;
    /// # use tokio::time::Instant;
    /// let mut inactivity = Inactivity::default();
    /// let now = Instant::now();
    /// inactivity.record_request(Duration::from_secs(1));
    /// let limit = Duration::from_millis(800);
    /// assert_eq!(inactivity.avoid_until(Duration::from_millis(1_300), limit, now), None);
    /// assert!(inactivity.avoid_until(Duration::from_millis(1_500), limit, now).is_some());
    /// ```
    pub fn avoid_until(
        &self,
        active_time: Duration,
        limit: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let until = self.idle_since.unwrap_or(now) + RETRY_INTERVAL;
        (self.is_inactive(active_time, limit) && until > now).then_some(until)
    }

    /// Returns whether requests that may run again should be moved to another upstream.
    pub fn is_stuck(&self, active_time: Duration, limit: Duration) -> bool {
        self.duration(active_time) > limit
    }

    fn is_inactive(&self, active_time: Duration, limit: Duration) -> bool {
        self.duration(active_time) > limit.mul_f64(AVOID_SHARE)
    }

    /// Returns for how long the upstream has shown no activity.
    pub fn duration(&self, active_time: Duration) -> Duration {
        self.since.map_or(Duration::ZERO, |since| active_time.saturating_sub(since))
    }
}
