use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::outcome::Reason;

/// One counter for each reason.
#[derive(Debug, Default)]
pub struct ReasonCounters([AtomicU64; Reason::ALL.len()]);

impl ReasonCounters {
    /// Counts one occurrence of a reason.
    ///
    /// ```
    /// # use ebonyusher::{metrics::ReasonCounters, outcome::Reason};
    /// let counters = ReasonCounters::default();
    /// counters.add(Reason::Overload);
    /// assert_eq!(counters.get(Reason::Overload), 1);
    /// ```
    pub fn add(&self, reason: Reason) {
        self.0[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count of a reason.
    pub fn get(&self, reason: Reason) -> u64 {
        self.0[reason.index()].load(Ordering::Relaxed)
    }

    /// Returns the counts above zero, by the name of the reason.
    pub fn nonzero(&self) -> BTreeMap<String, u64> {
        let counts = Reason::ALL.map(|reason| (reason.as_str().to_owned(), self.get(reason)));
        counts.into_iter().filter(|(_, count)| *count > 0).collect()
    }
}
