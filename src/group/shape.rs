use serde::{Deserialize, Serialize};

/// Sizes of an expert-parallel group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Shape {
    /// Ranks that step together.
    pub ranks: usize,
    /// Experts of a layer.
    pub experts: usize,
    /// Experts that a rank holds in a layer.
    pub slots: usize,
    /// Layers with experts.
    pub layers: usize,
    /// Size of one expert's weights.
    pub expert_bytes: u64,
}
