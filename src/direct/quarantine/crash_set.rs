use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Crash;

/// Maximum number of crashes that are kept for a request, more than change how it is treated.
const MAX_CRASHES: usize = 8;

/// The upstreams that ended while a request was in flight there, each incarnation once, in the
/// order of their ids. Sets of several entries join to the same set in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashSet(SmallVec<[Crash; 4]>);

impl CrashSet {
    /// Adds a crash. Returns whether that changed the set.
    ///
    /// ```
    /// # use ebonyusher::direct::{Crash, CrashSet};
    /// let crash = |upstream: &str, isolated| Crash {
    ///     upstream: upstream.into(), incarnation: None, started: 1, ended: 5, isolated,
    /// };
    /// let mut crashes = CrashSet::default();
    /// assert!(crashes.insert(crash("u-1", false)));
    /// assert!(!crashes.insert(crash("u-1", false)));
    /// assert!(crashes.insert(crash("u-2", false)));
    /// assert_eq!(crashes.count(), 1);
    /// assert!(crashes.insert(crash("u-2", true)));
    /// assert_eq!(crashes.count(), 2);
    /// ```
    pub fn insert(&mut self, crash: Crash) -> bool {
        self.join(&Self([crash].into_iter().collect()))
    }

    /// Adds the crashes of another set. Returns whether that changed this one.
    ///
    /// ```
    /// # use ebonyusher::direct::{Crash, CrashSet};
    /// let mut crashes = CrashSet::default();
    /// assert!(!crashes.join(&CrashSet::default()));
    /// ```
    pub fn join(&mut self, other: &Self) -> bool {
        let before = self.clone();
        for crash in &other.0 {
            match self.0.binary_search_by_key(&crash.incarnation(), Crash::incarnation) {
                Ok(at) => self.0[at].combine(crash),
                Err(at) => self.0.insert(at, crash.clone()),
            }
        }
        self.drop_excess();
        *self != before
    }

    /// Returns how many of the crashes the request is to blame for. Of those that the loss of a
    /// failure domain would explain, any that were in flight at the same time count once.
    ///
    /// ```
    /// # use ebonyusher::direct::CrashSet;
    /// assert_eq!(CrashSet::default().count(), 0);
    /// ```
    pub fn count(&self) -> u32 {
        let isolated = self.0.iter().filter(|crash| crash.isolated).count();
        let isolated = u32::try_from(isolated).unwrap_or(u32::MAX);
        isolated + self.grouped_incidents()
    }

    /// Returns how many of the crashes that are not isolated count: the maximum number of them with
    /// no two in flight at the same time.
    fn grouped_incidents(&self) -> u32 {
        let mut others: SmallVec<[&Crash; MAX_CRASHES]> =
            self.0.iter().filter(|crash| !crash.isolated).collect();
        others.sort_unstable_by_key(|crash| crash.ended);
        let (mut incidents, mut last_end) = (0, None);
        for crash in others {
            if last_end.is_none_or(|last_end| crash.started >= last_end) {
                incidents += 1;
                last_end = Some(crash.ended);
            }
        }
        incidents
    }

    /// Returns the upstreams that ended, by id and start time.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = (&str, Option<u64>)> {
        self.0.iter().map(Crash::incarnation)
    }

    /// Returns whether all upstreams of another set are in this one.
    pub(super) fn includes(&self, other: &Self) -> bool {
        other.0.iter().all(|crash| {
            self.0.binary_search_by_key(&crash.incarnation(), Crash::incarnation).is_ok()
        })
    }

    /// Drops the crashes that ended up to a Unix time in milliseconds. Returns whether there were
    /// any.
    pub(in crate::direct) fn drop_until(&mut self, time: u64) -> bool {
        let before = self.0.len();
        self.0.retain(|crash| crash.ended > time);
        self.0.len() < before
    }

    /// Returns whether the set has no crashes.
    ///
    /// ```
    /// # use ebonyusher::direct::CrashSet;
    /// assert!(CrashSet::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn drop_excess(&mut self) {
        while self.0.len() > MAX_CRASHES {
            let rank = |at: &usize| (self.0[*at].isolated, self.0[*at].ended);
            if let Some(least) = (0..self.0.len()).min_by_key(rank) {
                self.0.remove(least);
            }
        }
    }
}
