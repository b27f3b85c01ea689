use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::units::BootTime;

/// Number of buckets that the window is divided into.
const BUCKETS: u64 = 10;
/// Larger than any rounding error of a slack.
const ROUNDING: f64 = 1e-6;

/// Limits on the retries of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request of callers within the window.
    pub share: f64,
    /// Length of the window. The limit holds in every span of this length.
    pub window: Duration,
    /// Retries that are allowed beyond the share within the window.
    pub slack: f64,
}

/// What a budget says to one retry, with the sums that decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    /// Whether the budget allows the retry, which is then charged.
    pub is_granted: bool,
    /// Requests of callers that count.
    pub requests: u32,
    /// Retries charged within the window, without this one.
    pub retries: u32,
    /// Part of the slack that this entry takes at present, in retries.
    pub slack: f64,
}

/// Sliding-window budget for the retries of one service at one entry, such that all entries
/// together stay within the limits.
///
/// Load moves between entries, and what an entry has spent is forgotten when it ends, while those
/// that take over its load earn by the same callers. Therefore an entry spends by the fewest requests
/// that it had in any window that ended within the last one. For entries that spend within one window
/// there is then a moment that counts for all of them, and at any moment each request is at one entry.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Buckets of two windows that had requests or retries, the oldest first.
    buckets: Mutex<VecDeque<Bucket>>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Number of the bucket, counted from the start of the clock.
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget without any requests on record.
    pub const fn new(limits: RetryLimits) -> Self {
        Self { limits, buckets: Mutex::new(VecDeque::new()) }
    }

    /// Counts a request from a caller.
    pub fn earn(&self, now: BootTime) {
        self.with_buckets(now, |_, bucket| bucket.requests += 1);
    }

    /// Takes one retry from the budget, if that allows it. `slack_part` is the part of the slack that
    /// this entry may take, from 0 to 1.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::{direct::{RetryBudget, RetryLimits}, units::BootTime};
    /// let limits = RetryLimits { share: 0.2, window: Duration::from_secs(10), slack: 30.0 };
    /// let budget = RetryBudget::new(limits);
    /// let at = |s| BootTime::after_boot(Duration::from_secs(s));
    /// assert_eq!((0..9).filter(|_| budget.spend(at(50), 0.1).is_granted).count(), 3);
    /// assert!(budget.spend(at(62), 0.1).is_granted);
    /// ```
    pub fn spend(&self, now: BootTime, slack_part: f64) -> Charge {
        let RetryLimits { share, slack, .. } = self.limits;
        let slack = slack * slack_part;
        self.with_buckets(now, |earlier, bucket| {
            let (requests, retries) = count(earlier, bucket);
            let allowed = share * f64::from(requests) + slack;
            // Rounding must not take a whole retry away.
            let is_granted = f64::from(retries) + 1.0 <= allowed + ROUNDING;
            bucket.retries += u32::from(is_granted);
            Charge { is_granted, requests, retries, slack }
        })
    }

    /// Drops the buckets that no longer count, and calls `act` with the others and the present one.
    fn with_buckets<T>(
        &self,
        now: BootTime,
        act: impl FnOnce(&VecDeque<Bucket>, &mut Bucket) -> T,
    ) -> T {
        let length = self.limits.window.as_secs_f64() / BUCKETS as f64;
        let number = (now.since(BootTime::default()).as_secs_f64() / length) as u64;
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        while buckets.front().is_some_and(|bucket| bucket.number + 2 * BUCKETS < number) {
            buckets.pop_front();
        }
        let is_current = buckets.back().is_some_and(|bucket| bucket.number >= number);
        let current = is_current.then(|| buckets.pop_back()).flatten();
        let mut current = current.unwrap_or(Bucket { number, requests: 0, retries: 0 });
        let result = act(&buckets, &mut current);
        buckets.push_back(current);
        result
    }
}

/// Returns the fewest requests of any window that ended within the last one, and the retries of the
/// last one. Of the oldest bucket, which may straddle the start of the window, only the retries count.
fn count(earlier: &VecDeque<Bucket>, current: &Bucket) -> (u32, u32) {
    let all = || earlier.iter().chain([current]);
    let requests_until = |last: u64| {
        let is_within = |bucket: &&Bucket| bucket.number + BUCKETS > last && bucket.number <= last;
        all().filter(is_within).map(|bucket| bucket.requests).sum()
    };
    let first = current.number.saturating_sub(BUCKETS);
    let requests = (first..=current.number).map(requests_until).min().unwrap_or_default();
    let is_recent = |bucket: &&Bucket| bucket.number + BUCKETS >= current.number;
    let retries = all().filter(is_recent).map(|bucket| bucket.retries).sum();
    (requests, retries)
}
