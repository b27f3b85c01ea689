use serde::{Deserialize, Serialize};

/// Sizes of an expert-parallel group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Shape {
    /// Number of ranks that step together.
    pub ranks: usize,
    /// Number of experts in a layer.
    pub experts: usize,
    /// Number of experts that a rank holds in a layer.
    pub slots: usize,
    /// Number of layers with experts.
    pub layers: usize,
    /// Size of one expert's weights in bytes.
    pub expert_bytes: u64,
}
