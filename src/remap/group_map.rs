use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Experts that one rank holds in one set of layers.
pub type HeldExperts = SmallVec<[u16; 8]>;

/// Experts that each rank holds, for each set of layers. The ranks that hold an expert share its
/// tokens evenly.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupMap {
    /// Held experts by set and rank.
    pub sets: Vec<Vec<HeldExperts>>,
}

impl GroupMap {
    /// Builds the map from the experts that each rank reports, by rank and set.
    ///
    /// ```
    /// # use ebonyusher::remap::{GroupMap, HeldExperts};
    /// let held = |experts: &[u16]| -> HeldExperts { experts.iter().copied().collect() };
    /// let map = GroupMap::from_ranks(&[vec![held(&[0])], vec![held(&[1])]]);
    /// assert_eq!(map.sets.len(), 1);
    /// assert!(map.is_complete(2));
    /// assert!(!map.is_complete(3));
    /// ```
    pub fn from_ranks(ranks: &[Vec<HeldExperts>]) -> Self {
        let sets = ranks.first().map_or(0, Vec::len);
        let of_set = |set: usize| {
            ranks.iter().map(|held| held.get(set).cloned().unwrap_or_default()).collect()
        };
        Self { sets: (0..sets).map(of_set).collect() }
    }

    /// The map of a new group: each expert has one place, and the ranks take turns.
    ///
    /// ```
    /// # use ebonyusher::remap::GroupMap;
    /// let map = GroupMap::in_turn(1, 3, 4);
    /// assert_eq!(map.sets[0][0][..], [0, 3]);
    /// assert_eq!(map.sets[0][2][..], [2]);
    /// ```
    pub fn in_turn(sets: usize, ranks: usize, experts: usize) -> Self {
        let held = |rank: usize| (rank..experts).step_by(ranks).map(|expert| expert as u16);
        let set: Vec<HeldExperts> = (0..ranks).map(|rank| held(rank).collect()).collect();
        Self { sets: vec![set; sets] }
    }

    /// Whether every expert below `experts` is held by a rank in every set.
    pub fn is_complete(&self, experts: usize) -> bool {
        self.sets.iter().all(|ranks| {
            let mut found = vec![false; experts];
            for expert in ranks.iter().flatten() {
                if let Some(found) = found.get_mut(usize::from(*expert)) {
                    *found = true;
                }
            }
            found.iter().all(|found| *found)
        })
    }

    /// Number of experts that ranks must copy to switch to another map.
    pub fn copies_to(&self, other: &Self) -> usize {
        let new = |(own, other): (&HeldExperts, &HeldExperts)| {
            other.iter().filter(|e| !own.contains(e)).count()
        };
        let of_set = |(own, other): (&Vec<HeldExperts>, &Vec<HeldExperts>)| -> usize {
            own.iter().zip(other).map(new).sum()
        };
        self.sets.iter().zip(&other.sets).map(of_set).sum()
    }
}
