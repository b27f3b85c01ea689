use std::fmt;

use serde::{Deserialize, Serialize};

/// Names one expert map. Two leaders may plan the same version; the fencing number tells them
/// apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MapId {
    /// Greater by one with each switch.
    pub version: u64,
    /// Fencing number of the leader that planned it.
    pub fence: u64,
}

impl fmt::Display for MapId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}", self.version, self.fence)
    }
}
