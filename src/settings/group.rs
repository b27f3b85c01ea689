use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::group::{GroupWeights, Shape};
use crate::units::{Size, Span};

const DEFAULT_INTERVAL: Span = Span::from_millis(400);

/// Settings of an expert-parallel group.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Group {
    /// Weight of the planner's goal of even step times on all ranks.
    pub skew: f64,
    /// Weight of the planner's goal of copying the weights of few experts between ranks.
    #[serde(rename = "move")]
    pub moves: f64,
    /// Sizes of the group. If absent, its expert maps are not changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shape: Option<GroupShape>,
    /// Interval between two plans.
    #[serde(default = "default_interval")]
    pub interval: Span,
}

/// Sizes of an expert-parallel group, one sidecar for each rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GroupShape {
    /// Number of ranks, which run each step together.
    pub ranks: usize,
    /// Number of experts in a layer.
    pub experts: usize,
    /// Number of experts that a rank holds in a layer.
    pub slots: usize,
    /// Number of layers with experts.
    pub layers: usize,
    /// Size of one expert's weights.
    pub expert_size: Size,
}

const fn default_interval() -> Span {
    DEFAULT_INTERVAL
}

impl Group {
    /// Returns the weights of the goals of rebalancing.
    pub const fn weights(&self) -> GroupWeights {
        GroupWeights { skew: self.skew, moves: self.moves }
    }
}

impl GroupShape {
    /// Converts the sizes for the planner.
    pub const fn shape(&self) -> Shape {
        Shape {
            ranks: self.ranks,
            experts: self.experts,
            slots: self.slots,
            layers: self.layers,
            expert_bytes: self.expert_size.bytes(),
        }
    }

    /// Returns whether all sizes are above 0, a rank has at most one slot for each expert, the
    /// ranks together have a slot for every expert, and the number of experts fits in 16 bits.
    pub const fn is_valid(&self) -> bool {
        self.ranks > 0
            && self.layers > 0
            && self.slots > 0
            && self.slots <= self.experts
            && self.experts <= u16::MAX as usize
            && self.ranks * self.slots >= self.experts
            && self.expert_size.bytes() > 0
    }
}
