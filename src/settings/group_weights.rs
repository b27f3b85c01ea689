use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What rebalancing of an expert-parallel group should favour.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GroupWeights {
    /// Weight of even step times.
    pub skew: f64,
    /// Weight of few moved weights.
    #[serde(rename = "move")]
    pub moves: f64,
}

impl Default for GroupWeights {
    fn default() -> Self {
        Self {
            skew: 1.0,
            moves: 1.0,
        }
    }
}
