use std::sync::{Mutex, PoisonError};

use tokio::time::Instant;

/// A bound on calls a second, with a second's worth of burst.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    state: Mutex<(f64, Instant)>,
}

impl RateLimiter {
    /// A bound of so many calls a second.
    pub fn new(per_second: f64) -> Self {
        Self { per_second, state: Mutex::new((per_second, Instant::now())) }
    }

    /// Takes one call, and tells whether the bound allows it.
    pub fn try_acquire(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let (tokens, filled) = *state;
        let gained = (now - filled).as_secs_f64() * self.per_second;
        let tokens = (tokens + gained).min(self.per_second);
        let allowed = tokens >= 1.0;
        *state = (if allowed { tokens - 1.0 } else { tokens }, now);
        allowed
    }
}
