use std::time::Duration;

/// Least limit. Callers give up after two seconds without an event, and an engine's events are a
/// tenth of a second apart.
const MIN_LIMIT: Duration = Duration::from_millis(800);
/// Least limit as long as few responses are known.
const INITIAL_LIMIT: Duration = Duration::from_millis(1_200);
/// Number of responses from which on their times are relied on.
const MIN_RESPONSES: u32 = 8;
/// Smoothing factor of the exponentially weighted moving averages.
const SMOOTHING: f64 = 0.05;
/// Number of mean deviations above the mean up to which a response is not unusually late.
const DEVIATIONS: f64 = 4.0;

/// Estimates how long a sound upstream of a service may take to respond, in the way in which TCP
/// sets its retransmission timeout: from the mean and the mean deviation of recent response times.
///
/// A request in an upstream's queue shows no activity, so that an upstream which is only busy looks
/// like a stuck one. With many upstreams, an entry seldom has a second request there that would
/// tell the two apart.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SilenceLimit {
    responses: u32,
    /// Mean time to the first activity of a request, in seconds.
    mean: f64,
    /// Mean deviation from the mean, in seconds.
    deviation: f64,
}

impl SilenceLimit {
    /// Records the time from a request to its first response, or for how long one that was given up
    /// on had none.
    pub fn record(&mut self, time: Duration) {
        self.responses = self.responses.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.responses));
        let difference = time.as_secs_f64() - self.mean;
        if self.responses > 1 {
            self.deviation += weight * (difference.abs() - self.deviation);
        }
        self.mean += weight * difference;
    }

    /// Returns for how long an upstream may be silent while others are active.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::SilenceLimit;
    /// let mut limit = SilenceLimit::default();
    /// (0..100).for_each(|_| limit.record(Duration::from_millis(200)));
    /// assert_eq!(limit.get(), Duration::from_millis(800));
    /// (0..100).for_each(|at| limit.record(Duration::from_millis(500 + 1_000 * (at % 2))));
    /// assert!(limit.get() > Duration::from_millis(1_800));
    /// ```
    pub fn get(&self) -> Duration {
        let least = if self.responses < MIN_RESPONSES { INITIAL_LIMIT } else { MIN_LIMIT };
        let usual = Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation);
        usual.max(least)
    }
}
