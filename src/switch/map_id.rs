use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one expert map. Two leaders may plan the same version; the fencing token tells the
/// maps apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MapId {
    /// Version, which increases with each map that a leader plans.
    pub version: u64,
    /// Fencing token of the leader that planned the map.
    pub fence: u64,
}

impl fmt::Display for MapId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}", self.version, self.fence)
    }
}
