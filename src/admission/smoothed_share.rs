use tokio::time::Instant;

/// Time constant of the smoothing, in seconds.
const TIME_CONSTANT_S: f64 = 5.0;
/// The same under overload, when the share is less certain.
const OVERLOAD_TIME_CONSTANT_S: f64 = 10.0;
/// Number of measurements that are averaged before the smoothing depends on time alone.
const AVERAGED_SAMPLES: f64 = 100.0;
/// Exponent of the correction of the share by what was refused here. Without correction, an entry that
/// refuses more than others would refuse still more; with all of it, small entries would refuse less.
const CORRECTION_EXPONENT: f64 = 0.65;
/// Lower bound of the share, for the largest number of entries.
const MIN_SHARE: f64 = 1.0 / 512.0;

/// Smoothed share of an entry in the load of a service.
///
/// An entry that refuses more than others has a smaller share of the load than of the arrivals.
/// It would overestimate the demand of all entries and refuse still more. Under overload the
/// share is therefore corrected by what was refused here, and hardly changes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmoothedShare {
    /// Smoothed share, and when it was updated.
    value: Option<(f64, Instant)>,
    /// Number of measurements, counted up to a limit.
    samples: f64,
}

impl SmoothedShare {
    /// Returns the share, or `None` before the first measurement.
    pub fn get(&self) -> Option<f64> {
        self.value.map(|(share, _)| share)
    }

    /// Records a measurement. `asked_per_admitted` is how many requests were asked for each one
    /// admitted at this entry.
    ///
    /// ```
    /// # use ebonyusher::admission::SmoothedShare;
    /// # use tokio::time::Instant;
    /// let mut share = SmoothedShare::default();
    /// assert_eq!(share.get(), None);
    /// share.record(0.25, 1.0, false, Instant::now());
    /// assert_eq!(share.get(), Some(0.25));
    /// ```
    pub fn record(
        &mut self,
        share: f64,
        asked_per_admitted: f64,
        is_overloaded: bool,
        now: Instant,
    ) {
        let asked = share * asked_per_admitted.powf(CORRECTION_EXPONENT);
        let share = (asked / (asked + 1.0 - share)).clamp(MIN_SHARE, 1.0);
        let (before, at) = self.value.unwrap_or((share, now));
        let smoothing = self.next_smoothing(at, is_overloaded, now);
        self.value = Some((before + smoothing * (share - before), now));
    }

    /// Counts a measurement, and returns its weight relative to the previous ones.
    fn next_smoothing(&mut self, last: Instant, is_overloaded: bool, now: Instant) -> f64 {
        self.samples = (self.samples + 1.0).min(AVERAGED_SAMPLES);
        let is_new = self.samples < AVERAGED_SAMPLES;
        let min_smoothing = if is_new { 1.0 / self.samples } else { 0.0 };
        let time_constant = if is_overloaded { OVERLOAD_TIME_CONSTANT_S } else { TIME_CONSTANT_S };
        let age = now.saturating_duration_since(last).as_secs_f64();
        (1.0 - (-age / time_constant).exp()).max(min_smoothing)
    }
}
