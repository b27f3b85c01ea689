use tokio::time::Instant;

use super::share::{MIN_RATE, Share, Sharers};

/// Number of entries that share a limit, per request per second of it. Each may send one request
/// at any time within its share, so with more entries these alone would exceed a low limit.
const ENTRIES_PER_RATE: f64 = 2.0;

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

impl LimitedUpstream {
    /// Returns what decides which of two statements is the later one.
    pub(super) const fn order(&self) -> (Option<u64>, u64) {
        (self.incarnation, self.heard)
    }

    /// Returns when this entry may send the next request, `None` if at any time.
    pub(super) fn next(&self, id: &str, sharers: Sharers<'_>) -> Option<Instant> {
        let rate = self.rate?;
        let most_sharers = (rate.max(MIN_RATE) * ENTRIES_PER_RATE).floor();
        Some(self.last + Share::new(rate, most_sharers, id, sharers).interval)
    }
}
