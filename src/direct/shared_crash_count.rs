use serde::{Deserialize, Serialize};

/// Time in seconds after the last crash or trial for which the count is valid, longer than any
/// quarantine.
pub(super) const MAX_AGE_S: u64 = 7_200;

/// Number of crashes of one request, as an entry shares it with the others. Of two counts the one
/// with more crashes holds or, with as many, the one with more trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SharedCrashCount {
    /// Number of crashes.
    pub crashes: u32,
    /// Number of trials after quarantine times.
    #[serde(default)]
    pub trials: u32,
    /// Unix time of the last crash or trial in seconds.
    pub at: u64,
}

impl SharedCrashCount {
    /// Returns whether the count is still valid.
    ///
    /// ```
    /// # use ebonyusher::direct::SharedCrashCount;
    /// let shared = SharedCrashCount { crashes: 2, trials: 0, at: 100 };
    /// assert!(shared.is_recent(160) && !shared.is_recent(9_000));
    /// ```
    pub const fn is_recent(self, now: u64) -> bool {
        self.at.saturating_add(MAX_AGE_S) > now
    }

    /// Returns what decides which of two counts holds.
    pub(super) const fn order(self) -> (u32, u32) {
        (self.crashes, self.trials)
    }
}
