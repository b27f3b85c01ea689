use super::ExpertMap;

/// One rank fetches the weights of one expert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Layer.
    pub layer: usize,
    /// Rank that fetches.
    pub rank: usize,
    /// Expert whose weights are fetched.
    pub expert: usize,
    /// Expert that gives up its place.
    pub evicted: usize,
}

/// A map to switch to, and what has to be fetched first.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The map.
    pub map: ExpertMap,
    /// The fetches.
    pub moves: Vec<Move>,
    /// Size of the fetches.
    pub bytes: u64,
}
