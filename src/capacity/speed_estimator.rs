use std::time::Duration;

use tokio::time::Instant;

/// Slowness from which an upstream is called slow.
pub const SLOW_FACTOR: f64 = 2.0;
/// Maximum slowness.
const MAX_FACTOR: f64 = 16.0;
/// Slowness below which an upstream counts as fast as the others: single samples of equal upstreams
/// differ by so much.
const MIN_FACTOR: f64 = 1.5;
/// Time constant of the fall of the peak.
const FALL_TIME: Duration = Duration::from_millis(1_000);
/// Smoothing factor of the mean of the samples.
const MEAN_SMOOTHING: f64 = 0.1;
/// Time without samples from which slowness decays.
const DRIFT_DELAY: Duration = Duration::from_secs(3);
/// Time constant of that decay.
const DRIFT_TIME: Duration = Duration::from_secs(2);
/// Age of the last sample from which the upstream is no reference for others.
const MAX_REFERENCE_AGE: Duration = Duration::from_secs(10);
/// Bounds of a sample.
const SAMPLE_RANGE: (f64, f64) = (1e-6, 1e6);

/// Estimates the speed of an upstream by a decaying peak of its response times. Errors are not
/// recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedEstimator {
    peak: f64,
    mean: f64,
    last: Option<Instant>,
}

impl SpeedEstimator {
    /// Records a response time, in any unit that is the same for all upstreams of a service.
    ///
    /// ```
    /// # use ebonyusher::capacity::SpeedEstimator;
    /// # use tokio::time::Instant;
    /// let now = Instant::now();
    /// let mut speed = SpeedEstimator::default();
    /// assert_eq!(speed.slowness(0.02, true, now), 1.0);
    /// speed.record(0.08, now);
    /// assert_eq!(speed.slowness(0.02, true, now), 4.0);
    /// ```
    pub fn record(&mut self, sample: f64, now: Instant) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let sample = sample.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        let Some(last) = self.last else {
            *self = Self { peak: sample, mean: sample, last: Some(now) };
            return;
        };
        let passed = now.saturating_duration_since(last);
        let kept = (-passed.as_secs_f64() / FALL_TIME.as_secs_f64()).exp();
        self.peak = sample.max(sample + (self.peak - sample) * kept);
        self.mean += MEAN_SMOOTHING * (sample - self.mean);
        self.last = Some(last.max(now));
    }

    /// Records that a request was given up on, or failed, after this time without a response. That
    /// is evidence of slowness, never of speed.
    ///
    /// ```
    /// # use ebonyusher::capacity::SpeedEstimator;
    /// # use tokio::time::Instant;
    /// let now = Instant::now();
    /// let mut speed = SpeedEstimator::default();
    /// speed.record(0.02, now);
    /// speed.record_unanswered(0.001, now);
    /// assert_eq!(speed.recent_peak(now), Some(0.02));
    /// speed.record_unanswered(0.5, now);
    /// assert_eq!(speed.recent_peak(now), Some(0.5));
    /// ```
    pub fn record_unanswered(&mut self, waited: f64, now: Instant) {
        if self.last.is_some() && waited > self.peak {
            self.record(waited, now);
        }
    }

    /// Returns the peak, if there is a recent sample.
    pub fn recent_peak(&self, now: Instant) -> Option<f64> {
        let last = self.last?;
        (now.saturating_duration_since(last) < MAX_REFERENCE_AGE).then_some(self.peak)
    }

    /// Returns the mean of the samples.
    pub fn mean(&self) -> Option<f64> {
        self.last.map(|_| self.mean)
    }

    /// Returns the time since the last sample.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last.map(|last| now.saturating_duration_since(last))
    }

    /// Returns how many times slower than the others the upstream is, from 1 to 16. `baseline` is
    /// the response time of the others.
    ///
    /// Without samples for some seconds, the result decays to 1 as long as the upstream is not
    /// busy, so that it is tried by one request at a time.
    pub fn slowness(&self, baseline: f64, is_busy: bool, now: Instant) -> f64 {
        let ratio = self.peak / baseline;
        let Some(last) = self.last.filter(|_| ratio.is_finite() && ratio >= MIN_FACTOR) else {
            return 1.0;
        };
        let factor = ratio.min(MAX_FACTOR);
        let passed = now.saturating_duration_since(last);
        let drift = passed.saturating_sub(DRIFT_DELAY);
        if is_busy || drift.is_zero() {
            return factor;
        }
        let kept = (-drift.as_secs_f64() / DRIFT_TIME.as_secs_f64()).exp();
        let factor = 1.0 + (factor - 1.0) * kept;
        if factor < MIN_FACTOR { 1.0 } else { factor }
    }
}
