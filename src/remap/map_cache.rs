use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use super::SharedMap;

/// Number of maps that a sidecar keeps: the one in force, one that a switch under way brings, and
/// those of switches that failed since.
const MAX_MAPS: usize = 4;

/// The latest maps that a sidecar was told of. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct MapCache(Arc<Mutex<VecDeque<SharedMap>>>);

impl MapCache {
    /// Returns the map with a digest.
    pub(super) fn find(&self, digest: u64) -> Option<SharedMap> {
        let maps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        maps.iter().find(|map| map.digest() == digest).cloned()
    }

    /// Keeps a map, in place of the oldest one.
    pub(super) fn insert(&self, map: SharedMap) {
        let mut maps = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        maps.retain(|known| known.digest() != map.digest());
        maps.push_front(map);
        maps.truncate(MAX_MAPS);
    }
}
