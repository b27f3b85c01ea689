use std::time::Duration;

use tokio::time::Instant;

/// A sum whose parts lose weight exponentially with their age.
#[derive(Clone, Copy, Debug)]
pub struct Decayed {
    /// Time in which a part decays to 1/e, in seconds.
    time_constant: f64,
    value: f64,
    at: Option<Instant>,
}

impl Decayed {
    /// Creates an empty sum with the time in which a part decays to 1/e.
    pub const fn new(time_constant: Duration) -> Self {
        Self { time_constant: time_constant.as_secs_f64(), value: 0.0, at: None }
    }

    /// Adds an amount.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::admission::Decayed;
    /// # use tokio::time::Instant;
    /// let mut sum = Decayed::new(Duration::from_secs(1));
    /// let now = Instant::now();
    /// sum.add(3.0, now);
    /// assert_eq!(sum.get(now), 3.0);
    /// assert!(sum.get(now + Duration::from_secs(5)) < 0.1);
    /// ```
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.get(now) + amount;
        self.at = self.at.max(Some(now));
    }

    /// Returns the sum at this time.
    pub fn get(&self, now: Instant) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.value * (-age.as_secs_f64() / self.time_constant).exp()
    }

    /// Returns the mean rate per second within about the time constant.
    pub fn rate(&self, now: Instant) -> f64 {
        self.get(now) / self.time_constant
    }
}
