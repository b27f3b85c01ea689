use std::time::Duration;

use tokio::time::Instant;

use super::MAX_PRIORITY;

/// Minimum time after which a refused caller is to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum time, which callers with a time limit of 8 s still wait: up to a third of what is left.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_500);
/// Minimum of the times returned while the schedule is full, as a part of the maximum.
const FULL_FROM: f64 = 0.6;
/// Minimum jitter, in seconds, so that callers refused by several entries don't return together.
const MIN_JITTER_S: f64 = 0.05;
/// Upper bound of the interval between two returns, in seconds.
const MAX_INTERVAL_S: f64 = 1.0;

/// Times at which refused callers are to return, at the rate at which capacity is freed.
///
/// A time that is given to a caller delays callers of its own and of less urgent priorities only.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    /// Next free time of each priority.
    next: [Option<Instant>; MAX_PRIORITY as usize + 1],
}

impl ReturnSchedule {
    /// Reserves the next free time, and returns how long until then, for a caller that could be served
    /// after `wait`. Capacity
    /// for `rate` requests per second is freed. `draw` is a random number from 0 to 1.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::admission::ReturnSchedule;
    /// # use tokio::time::Instant;
    /// let (mut schedule, now) = (ReturnSchedule::default(), Instant::now());
    /// let mut enqueue = |priority| schedule.enqueue(priority, Duration::ZERO, 2.0, 0.0, now);
    /// assert_eq!(enqueue(1), Duration::from_millis(300));
    /// assert_eq!(enqueue(1), Duration::from_millis(800));
    /// assert_eq!(enqueue(0), Duration::from_millis(300));
    /// assert_eq!(enqueue(1), Duration::from_millis(1_800));
    /// ```
    pub fn enqueue(
        &mut self,
        priority: u8,
        wait: Duration,
        rate: f64,
        draw: f64,
        now: Instant,
    ) -> Duration {
        let own = usize::from(priority.min(MAX_PRIORITY));
        let first = now + wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let at = self.next[own].map_or(first, |next| next.max(first));
        let retry_after = at.saturating_duration_since(now);
        if retry_after >= MAX_RETRY_AFTER {
            return MAX_RETRY_AFTER.mul_f64(FULL_FROM + (1.0 - FULL_FROM) * draw);
        }
        let interval = (1.0 / rate.max(1e-3)).min(MAX_INTERVAL_S);
        for next in &mut self.next[own..] {
            let start = next.map_or(first, |next| next.max(first));
            *next = Some(start + Duration::from_secs_f64(interval));
        }
        let jitter = Duration::from_secs_f64(interval.max(MIN_JITTER_S) * draw);
        (retry_after + jitter).min(MAX_RETRY_AFTER)
    }
}
