use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Parts that the window is counted in.
const BUCKETS: u32 = 10;

/// How many requests all entries together may send again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Share of the requests of a window that may be sent again.
    pub share: f64,
    /// Length of the window; every span of that length counts.
    pub window: Duration,
    /// Requests that may be sent again beyond the share, by this entry alone.
    pub slack: f64,
}

/// Retries of one service at one entry, within what all entries together may do.
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
    /// Nothing has been sent yet.
    pub const fn new(limits: RetryLimits) -> Self {
        Self { limits, buckets: Mutex::new(VecDeque::new()) }
    }

    /// Counts a request that a caller sent.
    pub fn earn(&self, now: Instant) {
        self.with_buckets(now, |bucket, _| bucket.requests += 1);
    }

    /// Takes one retry, and tells whether there was one.
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

    /// Drops what is older than the window, and gives the newest part and the sums.
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
        // Of the oldest part, which may lie across the window's edge, only the retries count.
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
