use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Lowest rate in requests per second that is used: only a response tells that a limit has ended.
pub(super) const MIN_RATE: f64 = 0.1;
/// Minimum time between two requests of an entry that has no share of the limit, by which it learns
/// that the limit has ended.
const TRIAL_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum time added to it, different for each entry.
const TRIAL_SPREAD: Duration = Duration::from_secs(20);
/// Time after each of its turns in which an entry that does not know the others may send, so that
/// requests that arrive at all entries at once are not all sent.
const TURN_TIME: Duration = Duration::from_millis(200);

/// The entries that share limits.
#[derive(Clone, Copy, Debug)]
pub(super) enum Sharers<'a> {
    /// The others are not known for certain. This entry (first field) is one of at most so many
    /// (second field).
    AtMost(&'a str, f64),
    /// This entry (first field) and the others (second field).
    Known(&'a str, &'a [&'a str]),
}

/// What one entry may send of a rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Minimum time between two requests.
    pub(super) interval: Duration,
    /// Part of the interval after which the first request may be sent, different for each entry.
    phase: f64,
    /// Whether the other entries are known.
    is_known: bool,
}

impl Share {
    /// Computes the share of a rate that `most_sharers` entries share at most.
    pub(super) fn new(rate: f64, most_sharers: f64, id: &str, sharers: Sharers<'_>) -> Self {
        let rate = rate.max(MIN_RATE);
        match sharers {
            Sharers::AtMost(own, entries) => Self {
                interval: Duration::from_secs_f64(entries.max(1.0) / rate),
                phase: order(id, own) as f64 / u64::MAX as f64,
                is_known: false,
            },
            Sharers::Known(own, others) => {
                let shares = most_sharers.max(1.0).min(others.len() as f64 + 1.0);
                let own_order = order(id, own);
                let before = others.iter().filter(|other| order(id, other) < own_order).count();
                let before = before as f64;
                if before < shares {
                    let interval = Duration::from_secs_f64(shares / rate);
                    return Self { interval, phase: (before + 1.0) / shares, is_known: true };
                }
                let spread = TRIAL_SPREAD.mul_f64(own_order as f64 / u64::MAX as f64);
                Self { interval: TRIAL_INTERVAL + spread, phase: 1.0, is_known: true }
            }
        }
    }

    /// Returns when the next request may be sent, if the rate holds since `since` and the last
    /// request was sent at `last`. Without knowledge of the others it is sent by turns, counted from
    /// `since`.
    pub(super) fn next(&self, since: Instant, last: Option<Instant>, now: Instant) -> Instant {
        let first = since + self.interval.mul_f64(self.phase);
        if self.is_known {
            return last.map_or(first, |last| last + self.interval);
        }
        if now < first {
            return first;
        }
        let past = now.duration_since(first).as_secs_f64();
        let turns = (past / self.interval.as_secs_f64()).floor();
        let turn = first + self.interval.mul_f64(turns);
        let is_used = last.is_some_and(|last| last >= turn);
        if is_used || now.duration_since(turn) >= TURN_TIME { turn + self.interval } else { turn }
    }
}

/// Returns the number by which the entries that share an upstream's limit are ordered.
fn order(upstream: &str, entry: &str) -> u64 {
    xxh3_64(format!("{upstream} {entry}").as_bytes())
}
