use tokio::time::Instant;

/// Time constant of the average of the own requests, in seconds; about the age of the reports.
const AVERAGE_TIME_S: f64 = 1.0;
/// Number of own requests at which half of their growth counts. The growth of few is mostly chance.
const HALF_WEIGHT: f64 = 60.0;
/// Bound of the relative growth or decline. A greater growth is that of an entry that has just started.
const MAX_GROWTH: f64 = 0.12;

/// Recent growth of this entry's requests in flight, by which the reported load is projected.
///
/// Reports lag by about a second, in which a burst would fill the queues. The own requests show it
/// at once. Only their growth is used: if each entry went by its own number and share, nothing would
/// bring the admission of unequal entries together.
#[derive(Debug, Default)]
pub struct OwnTrend {
    average: f64,
    growth: f64,
    at: Option<Instant>,
}

impl OwnTrend {
    /// Records the number of own requests in flight.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::admission::OwnTrend;
    /// # use tokio::time::Instant;
    /// let (mut trend, now) = (OwnTrend::default(), Instant::now());
    /// trend.record(40, now);
    /// assert_eq!(trend.growth(), 1.0);
    /// trend.record(80, now + Duration::from_millis(100));
    /// assert!(trend.growth() > 1.05);
    /// ```
    pub fn record(&mut self, own: u32, now: Instant) {
        let own = f64::from(own);
        let smoothing = self.at.map_or(1.0, |at| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            1.0 - (-age / AVERAGE_TIME_S).exp()
        });
        self.average += smoothing * (own - self.average);
        self.at = Some(now);
        let growth = own / (own + HALF_WEIGHT) * (own / self.average.max(1.0) - 1.0);
        self.growth = growth.clamp(-MAX_GROWTH, MAX_GROWTH);
    }

    /// Returns the factor by which the requests have grown.
    pub fn growth(&self) -> f64 {
        1.0 + self.growth
    }
}
