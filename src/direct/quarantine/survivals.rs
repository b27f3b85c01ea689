use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::CrashSet;

/// Maximum number of upstreams that are kept, more than change how a request is treated.
const MAX_UPSTREAMS: usize = 8;

/// The upstreams that went on writing an answer on a part of a prompt and lived, each incarnation
/// once, as hashes in ascending order. Sets of several entries join to the same set in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Survivals(SmallVec<[u64; 4]>);

impl Survivals {
    /// Adds an incarnation. Returns whether that changed the set.
    ///
    /// ```
    /// # use ebonyusher::direct::{CrashSet, Survivals};
    /// let mut survivals = Survivals::default();
    /// assert!(survivals.insert("u-1", Some(5)));
    /// assert!(!survivals.insert("u-1", Some(5)));
    /// assert_eq!(survivals.count_beside(&CrashSet::default()), 1);
    /// ```
    pub fn insert(&mut self, upstream: &str, incarnation: Option<u64>) -> bool {
        self.join(&Self([hash((upstream, incarnation))].into_iter().collect()))
    }

    /// Adds the incarnations of another set. Returns whether that changed this one.
    pub(super) fn join(&mut self, other: &Self) -> bool {
        let before = self.0.clone();
        self.0.extend_from_slice(&other.0);
        self.0.sort_unstable();
        self.0.dedup();
        self.0.truncate(MAX_UPSTREAMS);
        self.0 != before
    }

    /// Returns the number of incarnations that are not among those that have crashed since.
    pub fn count_beside(&self, crashes: &CrashSet) -> u32 {
        let crashed: SmallVec<[u64; 8]> = crashes.incarnations().map(hash).collect();
        let lived = self.0.iter().filter(|upstream| !crashed.contains(upstream)).count();
        u32::try_from(lived).unwrap_or(u32::MAX)
    }
}

fn hash((upstream, incarnation): (&str, Option<u64>)) -> u64 {
    xxh3_64_with_seed(upstream.as_bytes(), incarnation.unwrap_or_default())
}
