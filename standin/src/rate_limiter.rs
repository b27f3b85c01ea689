use std::sync::{Mutex, PoisonError};

use tokio::time::Instant;

/// A token bucket that holds up to one second's calls.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    state: Mutex<(f64, Instant)>,
}

impl RateLimiter {
    /// Creates a limiter of `per_second` calls a second, with a full bucket.
    pub fn new(per_second: f64) -> Self {
        Self { per_second, state: Mutex::new((per_second, Instant::now())) }
    }

    /// Takes a token for one call, and returns whether one was available.
    pub fn try_acquire(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let (tokens, refilled_at) = *state;
        let refill = (now - refilled_at).as_secs_f64() * self.per_second;
        let tokens = (tokens + refill).min(self.per_second);
        let allowed = tokens >= 1.0;
        *state = (if allowed { tokens - 1.0 } else { tokens }, now);
        allowed
    }
}
