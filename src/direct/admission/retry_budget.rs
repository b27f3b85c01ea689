use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Number of buckets that the window is divided into.
const BUCKETS: u32 = 10;
/// Smoothing factor of the exponentially weighted moving average of the share of the load. In a
/// burst, as after a restart of all entries, each sees its own requests before those of others.
const LOAD_SMOOTHING: f64 = 0.005;
/// Part of the share of the load that is used, since reports of others' requests are always late.
const SAFE_PART: f64 = 0.75;
/// Larger than any rounding error of a slack.
const ROUNDING: f64 = 1e-6;

/// Limits on the retries of one entry, such that all entries together stay within the limits in the
/// settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request of callers within the window.
    pub share: f64,
    /// Length of the window. The limit holds in every span of this length.
    pub window: Duration,
    /// Retries of all entries together that are allowed beyond the share within the window.
    pub slack: f64,
    /// Part of the slack that this entry takes at least, and until it knows its share of the load.
    pub slack_share: f64,
}

/// What a budget says to one retry, with the sums of the window before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    /// Whether the budget allows the retry, which is then charged.
    pub is_granted: bool,
    /// Requests of callers within the window.
    pub requests: u32,
    /// Retries charged within the window, without this one.
    pub retries: u32,
    /// Part of the slack that this entry takes at present, in retries.
    pub slack: f64,
}

/// Sliding-window budget for the retries of one service at one entry, such that all entries
/// together stay within the limits.
///
/// Entries don't know how many they are. Each takes as much of the slack as it has of the service's
/// load; the shares of all entries add up to one.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Smoothed share of this entry in the service's load.
    load_share: Mutex<f64>,
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
        Self {
            limits,
            load_share: Mutex::new(limits.slack_share),
            buckets: Mutex::new(VecDeque::new()),
        }
    }

    /// Records this entry's present share of the service's load.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{RetryBudget, RetryLimits};
    /// let window = Duration::from_secs(10);
    /// let limits = RetryLimits { share: 0.2, window, slack: 100.0, slack_share: 0.01 };
    /// let budget = RetryBudget::new(limits);
    /// (0..10_000).for_each(|_| budget.record_load_share(0.2));
    /// let now = tokio::time::Instant::now();
    /// assert_eq!((0..99).filter(|_| budget.spend(now).is_granted).count(), 15);
    /// ```
    pub fn record_load_share(&self, share: f64) {
        let share = (share * SAFE_PART).clamp(self.limits.slack_share, 1.0);
        let mut load_share = self.load_share.lock().unwrap_or_else(PoisonError::into_inner);
        *load_share += LOAD_SMOOTHING * (share - *load_share);
    }

    /// Counts a request from a caller.
    pub fn earn(&self, now: Instant) {
        self.with_buckets(now, |bucket, _| bucket.requests += 1);
    }

    /// Takes one retry from the budget, if that allows it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{RetryBudget, RetryLimits};
    /// let window = Duration::from_secs(10);
    /// let limits = RetryLimits { share: 0.2, window, slack: 3.0, slack_share: 1.0 };
    /// let budget = RetryBudget::new(limits);
    /// let now = tokio::time::Instant::now();
    /// assert_eq!((0..9).filter(|_| budget.spend(now).is_granted).count(), 3);
    /// assert!(budget.spend(now + Duration::from_secs(12)).is_granted);
    /// ```
    pub fn spend(&self, now: Instant) -> Charge {
        let RetryLimits { share, slack, .. } = self.limits;
        let slack = slack * *self.load_share.lock().unwrap_or_else(PoisonError::into_inner);
        self.with_buckets(now, |bucket, (requests, retries)| {
            let allowed = share * f64::from(requests) + slack;
            // Rounding must not take a whole retry away.
            let is_granted = f64::from(retries) + 1.0 <= allowed + ROUNDING;
            bucket.retries += u32::from(is_granted);
            Charge { is_granted, requests, retries, slack }
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
