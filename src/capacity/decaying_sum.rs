use std::time::Duration;

use tokio::time::Instant;

/// Time constant of a sum created by default.
const DEFAULT_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// A sum whose terms decay exponentially with their age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecayingSum {
    /// Time in which a term decays to 1/e, in seconds.
    time_constant: f64,
    sum: f64,
    at: Option<Instant>,
}

impl Default for DecayingSum {
    fn default() -> Self {
        Self::new(DEFAULT_TIME_CONSTANT)
    }
}

impl DecayingSum {
    /// Creates an empty sum with the time in which a term decays to 1/e.
    pub const fn new(time_constant: Duration) -> Self {
        Self { time_constant: time_constant.as_secs_f64(), sum: 0.0, at: None }
    }

    /// Adds a term.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::capacity::DecayingSum;
    /// # use tokio::time::Instant;
    /// let now = Instant::now();
    /// let mut sum = DecayingSum::default();
    /// sum.add(2.0, now);
    /// assert_eq!(sum.get(now), 2.0);
    /// assert!(sum.get(now + Duration::from_secs(5)) < 0.02);
    /// ```
    pub fn add(&mut self, term: f64, now: Instant) {
        if term.is_finite() {
            self.sum = self.get(now) + term;
            self.at = self.at.max(Some(now));
        }
    }

    /// Returns the sum at this time.
    pub fn get(&self, now: Instant) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.sum * (-age.as_secs_f64() / self.time_constant).exp()
    }

    /// Returns the mean rate per second within about the time constant.
    pub fn rate(&self, now: Instant) -> f64 {
        self.get(now) / self.time_constant
    }
}
