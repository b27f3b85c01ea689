use super::ExpertMap;

/// A fetch of one expert's weights by one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Layer of the expert.
    pub layer: usize,
    /// Rank that fetches the weights.
    pub rank: usize,
    /// Expert whose weights are fetched.
    pub expert: usize,
    /// Expert whose place on the rank is taken.
    pub evicted: usize,
}

/// A map to switch to, and the fetches that it needs first.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Map to switch to.
    pub map: ExpertMap,
    /// Fetches that the map needs.
    pub moves: Vec<Move>,
    /// Size of all fetches in bytes.
    pub bytes: u64,
}
