use serde::{Deserialize, Serialize};

/// Time in seconds after the last crash for which the count is valid.
const MAX_AGE_S: u64 = 600;

/// Number of crashes of one request, as an entry shares it with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SharedCrashCount {
    /// Number of crashes.
    pub crashes: u32,
    /// Unix time of the last crash in seconds.
    pub at: u64,
}

impl SharedCrashCount {
    /// Returns whether the count is still valid.
    ///
    /// ```
    /// # use ebonyusher::direct::SharedCrashCount;
    /// let shared = SharedCrashCount { crashes: 2, at: 100 };
    /// assert!(shared.is_recent(160) && !shared.is_recent(900));
    /// ```
    pub const fn is_recent(self, now: u64) -> bool {
        self.at + MAX_AGE_S > now
    }
}
