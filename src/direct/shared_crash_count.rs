use serde::{Deserialize, Serialize};

/// Time in seconds after the last crash for which the count is valid.
const MAX_AGE_S: u64 = 600;

/// Number of crashes that all entries together have recorded for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SharedCrashCount {
    /// Number of crashes.
    pub crashes: u32,
    /// Unix time of the last crash in seconds.
    pub at: u64,
}

impl SharedCrashCount {
    /// Creates the count for the first crash of a request.
    pub const fn first(at: u64) -> Self {
        Self { crashes: 1, at }
    }

    /// Returns whether the count is still valid.
    pub const fn is_recent(self, now: u64) -> bool {
        self.at + MAX_AGE_S > now
    }

    /// Returns the count with one more crash. Crashes that several entries see in the same second
    /// count once: a failure domain was lost, and no request is to blame.
    ///
    /// ```
    /// # use ebonyusher::direct::SharedCrashCount;
    /// let one = SharedCrashCount::first(100);
    /// assert_eq!(one.incremented(100), one);
    /// assert_eq!(one.incremented(101), SharedCrashCount { crashes: 2, at: 101 });
    /// assert_eq!(one.incremented(900), SharedCrashCount::first(900));
    /// ```
    #[must_use]
    pub const fn incremented(self, now: u64) -> Self {
        if self.at == now {
            self
        } else if self.is_recent(now) {
            Self { crashes: self.crashes + 1, at: now }
        } else {
            Self::first(now)
        }
    }
}
