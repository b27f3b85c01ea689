use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Number of buckets that the window is divided into.
const BUCKETS: u32 = 10;

/// Limits on the retries of one entry, such that all entries together stay within the limits in the
/// settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request of callers within the window.
    pub share: f64,
    /// Length of the window. The limit holds in every span of this length.
    pub window: Duration,
    /// Retries allowed beyond the share within the window: the part of this entry.
    pub slack: f64,
}

/// Sliding-window budget for the retries of one service at one entry, such that all entries
/// together stay within the limits.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: Mutex<VecDeque<Bucket>>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    started: Instant,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget without any requests on record.
    pub const fn new(limits: RetryLimits) -> Self {
        Self { limits, buckets: Mutex::new(VecDeque::new()) }
    }

    /// Counts a request from a caller.
    pub fn earn(&self, now: Instant) {
        self.with_buckets(now, |bucket, _| bucket.requests += 1);
    }

    /// Takes one retry from the budget. Returns whether the budget allowed it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { share: 0.2, window: Duration::from_secs(10), slack: 3.0 };
    /// let budget = RetryBudget::new(limits);
    /// let now = tokio::time::Instant::now();
    /// assert_eq!((0..9).filter(|_| budget.spend(now)).count(), 3);
    /// assert!(budget.spend(now + Duration::from_secs(12)));
    /// ```
    pub fn spend(&self, now: Instant) -> bool {
        let RetryLimits { share, slack, .. } = self.limits;
        self.with_buckets(now, |bucket, (requests, retries)| {
            let is_allowed = f64::from(retries) + 1.0 <= share * f64::from(requests) + slack;
            bucket.retries += u32::from(is_allowed);
            is_allowed
        })
    }

    /// Drops the buckets before the window, and calls `act` with the newest bucket and the sums of
    /// requests and retries.
    fn with_buckets<T>(&self, now: Instant, act: impl FnOnce(&mut Bucket, (u32, u32)) -> T) -> T {
        let bucket_length = self.limits.window / BUCKETS;
        let kept = self.limits.window + bucket_length;
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        while buckets
            .front()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.started) > kept)
        {
            buckets.pop_front();
        }
        // Of the oldest bucket, which may straddle the start of the window, only the retries count.
        let is_within_window =
            |bucket: &&Bucket| now.saturating_duration_since(bucket.started) <= self.limits.window;
        let requests = buckets.iter().filter(is_within_window).map(|bucket| bucket.requests).sum();
        let retries = buckets.iter().map(|bucket| bucket.retries).sum();
        let sums = (requests, retries);
        let is_current =
            |bucket: &&mut Bucket| now.saturating_duration_since(bucket.started) < bucket_length;
        match buckets.back_mut().filter(is_current) {
            Some(bucket) => act(bucket, sums),
            None => {
                let mut bucket = Bucket { started: now, requests: 0, retries: 0 };
                let result = act(&mut bucket, sums);
                buckets.push_back(bucket);
                result
            }
        }
    }
}
