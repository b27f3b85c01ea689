use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the decay.
const DECAY_TIME: Duration = Duration::from_millis(1_000);

/// A sum whose terms decay.
///
/// An upstream that fails requests fast has few in flight. Their work counts as in flight for some
/// time, so that the upstream does not attract the next ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingSum {
    sum: f64,
    at: Option<Instant>,
}

impl DecayingSum {
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
            *self = Self { sum: self.get(now) + term, at: Some(now) };
        }
    }

    /// Returns the sum.
    pub fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(at);
        self.sum * (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
