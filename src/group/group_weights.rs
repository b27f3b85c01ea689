/// What rebalancing of an expert-parallel group should favour.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupWeights {
    /// Weight of even step times.
    pub skew: f64,
    /// Weight of few moved weights.
    pub moves: f64,
}

impl Default for GroupWeights {
    fn default() -> Self {
        Self { skew: 1.0, moves: 1.0 }
    }
}
