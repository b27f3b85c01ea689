use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Lowest rate in requests per second that is used: only a response tells that a limit has ended.
const MIN_RATE: f64 = 0.1;
/// Number of entries that share a limit, per request per second of it. Each may send one request
/// at any time within its share, so with more entries these alone would exceed a low limit.
const ENTRIES_PER_RATE: f64 = 2.0;
/// Minimum time between two requests of an entry that has no share of the limit, by which it learns
/// that the limit has ended.
const TRIAL_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum time added to it, different for each entry.
const TRIAL_SPREAD: Duration = Duration::from_secs(20);

/// What is known of the limit of one incarnation of an upstream.
#[derive(Clone, Debug)]
pub(super) struct LimitedUpstream {
    /// Start time of the incarnation, if the platform lists it.
    pub(super) incarnation: Option<u64>,
    /// Requests per second from all entries together, `None` if the limit has ended.
    pub(super) rate: Option<f64>,
    /// Unix time in milliseconds of the response that said so.
    pub(super) heard: u64,
    /// When this entry last sent a request, or learned of the limit.
    pub(super) last: Instant,
}

/// The entries that share limits.
#[derive(Clone, Copy, Debug)]
pub(super) enum Sharers<'a> {
    /// They are not known for certain; there are at most so many.
    AtMost(f64),
    /// This entry and the others.
    Known(&'a str, &'a [&'a str]),
}

impl LimitedUpstream {
    /// Returns what decides which of two statements is the later one.
    pub(super) const fn order(&self) -> (Option<u64>, u64) {
        (self.incarnation, self.heard)
    }

    /// Returns when this entry may send the next request, `None` if at any time.
    pub(super) fn next(&self, id: &str, sharers: Sharers<'_>) -> Option<Instant> {
        self.rate.map(|rate| self.last + interval(rate.max(MIN_RATE), id, sharers))
    }
}

/// Returns the minimum time between two requests of this entry to an upstream.
fn interval(rate: f64, id: &str, sharers: Sharers<'_>) -> Duration {
    match sharers {
        Sharers::AtMost(entries) => Duration::from_secs_f64(entries.max(1.0) / rate),
        Sharers::Known(own, others) => {
            let wanted = (rate * ENTRIES_PER_RATE).floor().max(1.0);
            let shares = wanted.min(others.len() as f64 + 1.0);
            let own_rank = rank(id, own);
            let before = others.iter().filter(|other| rank(id, other) < own_rank).count();
            if (before as f64) < shares {
                Duration::from_secs_f64(shares / rate)
            } else {
                TRIAL_INTERVAL + TRIAL_SPREAD.mul_f64(own_rank as f64 / u64::MAX as f64)
            }
        }
    }
}

/// Returns the rank of an entry among those that share an upstream's limit.
fn rank(upstream: &str, entry: &str) -> u64 {
    xxh3_64(format!("{upstream} {entry}").as_bytes())
}
