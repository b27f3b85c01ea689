use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time between the returns of two callers that were refused together.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time after which a refused caller is to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Spreads the times at which refused callers return, so that not all come for the same place.
#[derive(Debug, Default)]
pub struct ReturnQueue(Mutex<Option<Instant>>);

impl ReturnQueue {
    /// Returns after which time a caller is to return that could be served from `first` on.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::ReturnQueue;
    /// # use tokio::time::Instant;
    /// let (queue, now) = (ReturnQueue::default(), Instant::now());
    /// let first = now + Duration::from_secs(1);
    /// assert_eq!(queue.enqueue(first, now), Duration::from_secs(1));
    /// assert!(queue.enqueue(first, now) > Duration::from_secs(1));
    /// ```
    pub fn enqueue(&self, first: Instant, now: Instant) -> Duration {
        let mut last = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let next = last.map_or(first, |last| first.max(last + RETURN_INTERVAL));
        let wait = next.saturating_duration_since(now);
        if wait > MAX_RETRY_AFTER {
            // Starts over: those who came first have returned by then.
            *last = None;
            return MAX_RETRY_AFTER.mul_f64(rand::random_range(0.5..1.0));
        }
        *last = Some(next);
        wait
    }
}
