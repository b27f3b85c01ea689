use std::ops::Deref;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::GroupMap;
use super::packed_map::pack;

/// A map with its digest. Clones share the map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedMap {
    map: Arc<GroupMap>,
    digest: u64,
}

impl SharedMap {
    /// Digest of the whole map, by which processes tell whether they mean the same one.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// The digest as it is logged.
    pub(super) fn digest_text(&self) -> String {
        format!("{:016x}", self.digest)
    }
}

impl From<GroupMap> for SharedMap {
    fn from(map: GroupMap) -> Self {
        let digest = xxh3_64(&pack(&map));
        Self { map: Arc::new(map), digest }
    }
}

impl Deref for SharedMap {
    type Target = GroupMap;

    fn deref(&self) -> &GroupMap {
        &self.map
    }
}
