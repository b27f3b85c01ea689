use serde::{Deserialize, Serialize};

use super::{LayerMap, MapError, Shape};

/// Maps of all layers of a group, in force together.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExpertMap {
    /// Version, which increases by one with each switch.
    pub version: u64,
    /// One map for each layer.
    pub layers: Vec<LayerMap>,
}

impl ExpertMap {
    /// The map that a group starts from.
    ///
    /// ```
    /// # use ebonyusher::group::{ExpertMap, Shape};
    /// let shape = Shape { ranks: 2, experts: 4, slots: 2, layers: 3, expert_bytes: 1 };
    /// assert!(ExpertMap::initial(&shape).check(&shape).is_ok());
    /// ```
    pub fn initial(shape: &Shape) -> Self {
        Self { version: 0, layers: vec![LayerMap::initial(shape); shape.layers] }
    }

    /// Checks every layer.
    ///
    /// # Errors
    /// [`MapError`] for the first error found.
    pub fn check(&self, shape: &Shape) -> Result<(), MapError> {
        self.layers.iter().try_for_each(|layer| layer.check(shape))
    }
}
