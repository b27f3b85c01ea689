use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// Time between two renewals of an entry's row, at least.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_secs(8);
/// Time between the renewals of any two entries: each is read by all.
const RENEWAL_SPACING: Duration = Duration::from_secs(1);
/// Number of renewals after which an entry without one no longer counts.
const LEASE_RENEWALS: u32 = 3;
/// Number of renewals for which this entry's own row, as read from the table, proves that it knows
/// the others.
const PROOF_RENEWALS: u32 = 2;

/// The other entries, as known from the renewals of their rows.
#[derive(Debug, Default)]
pub(super) struct OtherEntries {
    /// Last renewal of each other entry, and when it was read.
    renewals: HashMap<String, (u64, Instant)>,
    /// Number of the last renewal that this entry has begun to write.
    own_renewal: u64,
    /// When this entry last read that renewal in the table.
    proven: Option<Instant>,
}

impl OtherEntries {
    /// Begins the next renewal of this entry's row. Returns its number.
    pub(super) const fn begin_renewal(&mut self) -> u64 {
        self.own_renewal += 1;
        self.own_renewal
    }

    /// Records that this entry has read its own row in the table.
    pub(super) fn record_own(&mut self, renewal: u64, now: Instant) {
        if renewal == self.own_renewal {
            self.proven = Some(now);
        }
    }

    /// Records a renewal of another entry's row, unless it is the one known already.
    pub(super) fn record(&mut self, entry: &str, renewal: u64, now: Instant) {
        let known = self.renewals.get(entry);
        if known.is_none_or(|(known, _)| *known != renewal) {
            self.renewals.insert(entry.to_owned(), (renewal, now));
        }
    }

    /// Returns the other entries whose rows were renewed within their leases.
    pub(super) fn live(&self, now: Instant) -> SmallVec<[&str; 16]> {
        let lease = renewal_interval(self.renewals.len()) * LEASE_RENEWALS;
        let is_live = |at: &Instant| now.saturating_duration_since(*at) < lease;
        let live = self.renewals.iter().filter(|(_, (_, at))| is_live(at));
        live.map(|(entry, _)| entry.as_str()).collect()
    }

    /// Returns whether this entry knows the others for certain.
    pub(super) fn is_proven(&self, now: Instant) -> bool {
        let max_age = self.renewal_interval(now) * PROOF_RENEWALS;
        self.proven.is_some_and(|at| now.saturating_duration_since(at) < max_age)
    }

    /// Returns the time between two renewals of this entry's row.
    pub(super) fn renewal_interval(&self, now: Instant) -> Duration {
        renewal_interval(self.live(now).len())
    }
}

/// Returns the time between two renewals of an entry among this number of others.
fn renewal_interval(others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    MIN_RENEWAL_INTERVAL.max(RENEWAL_SPACING * others.saturating_add(1))
}
