use serde::{Deserialize, Serialize};

/// Time for which the count lasts, in seconds.
const MAX_AGE_S: u64 = 600;

/// How many crashes all entries together know of for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SharedCrashCount {
    /// Crashes counted.
    pub crashes: u32,
    /// Unix time of the last one in seconds.
    pub at: u64,
}

impl SharedCrashCount {
    /// The first crash of a request.
    pub const fn first(at: u64) -> Self {
        Self { crashes: 1, at }
    }

    /// Whether the count still holds.
    pub const fn is_recent(self, now: u64) -> bool {
        self.at + MAX_AGE_S > now
    }

    /// The count with one more crash. Several entries that lose upstreams in the same second count
    /// one crash: a failure domain has gone, and no request is to blame.
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
