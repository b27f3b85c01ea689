/// Weights of the goals of rebalancing an expert-parallel group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupWeights {
    /// Weight of even step times on all ranks.
    pub skew: f64,
    /// Weight of moving few expert weights.
    pub moves: f64,
}

impl Default for GroupWeights {
    fn default() -> Self {
        Self { skew: 1.0, moves: 1.0 }
    }
}
