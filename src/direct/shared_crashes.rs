use serde::{Deserialize, Serialize};

/// Time for which the count lasts, in seconds.
const MEMORY_S: u64 = 600;

/// How many crashes all entries together know of for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SharedCrashes {
    /// Crashes counted.
    pub crashes: u32,
    /// Unix time of the last one in seconds.
    pub at: u64,
}

impl SharedCrashes {
    /// The first crash of a request.
    pub const fn first(at: u64) -> Self {
        Self { crashes: 1, at }
    }

    /// Whether the count still holds.
    pub const fn is_recent(self, now: u64) -> bool {
        self.at + MEMORY_S > now
    }

    /// The count with one more crash. Several entries that lose upstreams in the same second count
    /// one crash: a failure domain has gone, and no request is to blame.
    ///
    /// ```
    /// # use ebonyusher::direct::SharedCrashes;
    /// let one = SharedCrashes::first(100);
    /// assert_eq!(one.and_one(100), one);
    /// assert_eq!(one.and_one(101), SharedCrashes { crashes: 2, at: 101 });
    /// assert_eq!(one.and_one(900), SharedCrashes::first(900));
    /// ```
    #[must_use]
    pub const fn and_one(self, now: u64) -> Self {
        if self.at == now {
            self
        } else if self.is_recent(now) {
            Self { crashes: self.crashes + 1, at: now }
        } else {
            Self::first(now)
        }
    }
}
