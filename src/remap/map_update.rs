use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::packed_map::{pack_changes, unpack_changes};
use super::{GroupMap, HeldExperts, SharedMap};

/// A rank at which the map of one set of layers changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RankChange {
    pub(super) rank: u16,
    /// Experts that the rank holds then.
    pub(super) held: HeldExperts,
}

/// The map that an update starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MapBase {
    /// None: the update names the experts of all ranks.
    Empty { sets: usize, ranks: usize },
    /// The map of a new group, in which each expert has one place and the ranks take turns.
    InTurn { sets: usize, ranks: usize, experts: usize },
    /// The map with this digest.
    Known(u64),
}

/// The difference of a map to one that the receiver has or can make. It is small where the whole
/// map is too large to be sent to every rank over a link of low bandwidth.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MapUpdate {
    /// Map that the update starts from.
    pub base: MapBase,
    /// Digest of the resulting map.
    pub digest: u64,
    /// Changed ranks of each set, packed and in base64.
    changes: String,
}

/// Why an update gives no map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum UpdateError {
    /// the map that the update starts from is not known here
    BaseMissing,
    /// the changes can't be read or name ranks that the map does not have
    Malformed,
    /// the resulting map has another digest
    WrongDigest,
}

impl MapUpdate {
    /// The update that makes `to` out of `from`, or out of nothing without one. It starts from the
    /// map of a new group if `from` is that map.
    ///
    /// ```
    /// # use ebonyusher::remap::{GroupMap, MapBase, MapUpdate, SharedMap};
    /// let from = SharedMap::from(GroupMap::in_turn(2, 3, 6));
    /// let mut changed = GroupMap::in_turn(2, 3, 6);
    /// changed.sets[1][2].push(0);
    /// let to = SharedMap::from(changed);
    /// let update = MapUpdate::between(Some(&from), &to);
    /// assert_eq!(update.base, MapBase::InTurn { sets: 2, ranks: 3, experts: 6 });
    /// assert_eq!(update.apply(|_| None), Ok(to));
    /// ```
    pub fn between(from: Option<&SharedMap>, to: &SharedMap) -> Self {
        let ranks = to.sets.first().map_or(0, Vec::len);
        let sets = to.sets.len();
        let same_size = |from: &&SharedMap| {
            from.sets.len() == sets && from.sets.iter().all(|set| set.len() == ranks)
        };
        let from = from.filter(same_size);
        let base = from.map_or(MapBase::Empty { sets, ranks }, |from| {
            let experts =
                from.sets.first().map_or(0, |set| set.iter().map(|held| held.len()).sum());
            if **from == GroupMap::in_turn(sets, ranks, experts) {
                MapBase::InTurn { sets, ranks, experts }
            } else {
                MapBase::Known(from.digest())
            }
        });
        let changes = to.sets.iter().enumerate().map(|(set, held)| {
            let changed = held.iter().enumerate().filter(|(rank, held)| {
                from.map_or(!held.is_empty(), |from| from.sets[set][*rank] != **held)
            });
            changed
                .map(|(rank, held)| RankChange { rank: rank as u16, held: held.clone() })
                .collect()
        });
        let changes: Vec<Vec<RankChange>> = changes.collect();
        let changes = pack_changes(&changes);
        Self { base, digest: to.digest(), changes }
    }

    /// Size of the changes in bytes, as they are sent.
    pub fn size(&self) -> usize {
        self.changes.len()
    }

    /// Makes the map. `find` returns the known map with a digest.
    ///
    /// # Errors
    /// As [`UpdateError`] says.
    pub fn apply(
        &self,
        find: impl FnOnce(u64) -> Option<SharedMap>,
    ) -> Result<SharedMap, UpdateError> {
        let mut map = match self.base {
            MapBase::Empty { sets, ranks } => {
                GroupMap { sets: vec![vec![HeldExperts::new(); ranks]; sets] }
            }
            MapBase::InTurn { sets, ranks, experts } => GroupMap::in_turn(sets, ranks, experts),
            MapBase::Known(digest) => {
                find(digest).map(|map| (*map).clone()).ok_or(UpdateError::BaseMissing)?
            }
        };
        let changes = unpack_changes(&self.changes).ok_or(UpdateError::Malformed)?;
        if changes.len() != map.sets.len() {
            return Err(UpdateError::Malformed);
        }
        for (set, changed) in map.sets.iter_mut().zip(changes) {
            for RankChange { rank, held } in changed {
                *set.get_mut(usize::from(rank)).ok_or(UpdateError::Malformed)? = held;
            }
        }
        let map = SharedMap::from(map);
        if map.digest() == self.digest { Ok(map) } else { Err(UpdateError::WrongDigest) }
    }
}
