use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::entry::CrashKeys;

/// Maximum number of parts of prompts in one report.
const MAX_PARTS: usize = 64;

/// Reports the requests that were in flight when an upstream crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Id of the crash, the same in every report of it.
    pub event: u64,
    /// Fingerprints of the requests.
    pub prints: SmallVec<[u64; 8]>,
    /// Fingerprints of the shared parts of their prompts.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub parts: SmallVec<[u64; 8]>,
}

impl CrashReport {
    /// Creates the report of a crash with this id. Beyond [`MAX_PARTS`] parts of prompts, those that
    /// are in fewest of the requests are left out.
    ///
    /// ```
    /// # use ebonyusher::{entry::CrashKeys, peer::CrashReport};
    /// let keys = CrashKeys { request: 7, parts: [5].into_iter().collect() };
    /// let report = CrashReport::new(1, &[keys.clone(), keys]);
    /// assert_eq!((report.prints.as_slice(), report.parts.as_slice()), (&[7][..], &[5][..]));
    /// ```
    pub fn new(event: u64, requests: &[CrashKeys]) -> Self {
        let mut prints: SmallVec<[u64; 8]> = requests.iter().map(|keys| keys.request).collect();
        prints.sort_unstable();
        prints.dedup();
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for part in requests.iter().flat_map(|keys| &keys.parts) {
            *counts.entry(*part).or_default() += 1;
        }
        let mut parts: SmallVec<[u64; 8]> = counts.keys().copied().collect();
        parts.sort_by_key(|part| Reverse(counts[part]));
        parts.truncate(MAX_PARTS);
        Self { event, prints, parts }
    }
}
