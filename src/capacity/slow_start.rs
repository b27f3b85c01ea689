use std::time::Duration;

use tokio::time::Instant;

/// Time in which an upstream gets its whole share.
const RAMP_TIME: Duration = Duration::from_secs(3);

/// Additional load of an upstream that is new or has returned, as a share of the mean load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    since: Instant,
}

impl SlowStart {
    /// Starts at a time.
    pub const fn new(since: Instant) -> Self {
        Self { since }
    }

    /// Starts again at a time, unless it has started later.
    pub fn restart(&mut self, since: Instant) {
        self.since = self.since.max(since);
    }

    /// Returns the share, which falls from 1 to 0.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::capacity::SlowStart;
    /// # use tokio::time::Instant;
    /// let now = Instant::now();
    /// let slow_start = SlowStart::new(now);
    /// assert_eq!(slow_start.share(now), 1.0);
    /// assert_eq!(slow_start.share(now + Duration::from_millis(1_500)), 0.5);
    /// assert_eq!(slow_start.share(now + Duration::from_secs(4)), 0.0);
    /// ```
    pub fn share(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.since);
        (1.0 - passed.as_secs_f64() / RAMP_TIME.as_secs_f64()).max(0.0)
    }
}
