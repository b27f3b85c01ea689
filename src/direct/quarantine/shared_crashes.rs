use serde::{Deserialize, Serialize};

use super::{CrashSet, Survivals};

/// Time in seconds after the last crash or trial for which crashes count, longer than any
/// quarantine.
pub(in crate::direct) const MAX_AGE_S: u64 = 7_200;

/// The crashes of one request, as an entry shares them with the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SharedCrashes {
    /// The crashes.
    pub crashes: CrashSet,
    /// Number of trials after quarantine times.
    #[serde(default)]
    pub trials: u32,
    /// The upstreams that lived on with it.
    #[serde(default)]
    pub survivals: Survivals,
    /// Unix time of the last crash or trial in seconds.
    pub at: u64,
}

impl SharedCrashes {
    /// Returns whether the crashes still count.
    ///
    /// ```
    /// # use ebonyusher::direct::SharedCrashes;
    /// let shared = SharedCrashes { at: 100, ..SharedCrashes::default() };
    /// assert!(shared.is_recent(160) && !shared.is_recent(9_000));
    /// ```
    pub const fn is_recent(&self, now: u64) -> bool {
        self.at.saturating_add(MAX_AGE_S) > now
    }
}
