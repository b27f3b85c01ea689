use serde::{Deserialize, Serialize};

use crate::membership::GroupName;

/// A map that a rank is going to switch to by itself, without a further order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// First pass that runs under the map.
    pub pass: u64,
}

/// State that a rank reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RankState {
    /// Name of the group, empty if the rank reports none.
    #[serde(default)]
    pub group: GroupName,
    /// Position in the group.
    pub rank: usize,
    /// Number of ranks of the group.
    pub size: usize,
    /// Epoch of the group; increases each time the group re-forms.
    pub epoch: u64,
    /// Whether the group is complete and running.
    pub open: bool,
    /// Last pass that has started.
    pub pass: u64,
    /// Version of the map in force.
    pub map: u64,
    /// Version of the map whose experts the rank has copied in addition.
    pub prepared: Option<u64>,
    /// Map that the rank is going to switch to.
    pub armed: Option<Armed>,
    /// Pass before which this rank holds the group.
    pub held: Option<u64>,
    /// Requests running on the rank.
    pub running: u32,
    /// Max age of this report in milliseconds. A report is current only on the rank's own machine.
    #[serde(default)]
    pub lag_ms: u64,
}

impl RankState {
    /// Greatest map version that the rank reports.
    pub fn last_version(&self) -> u64 {
        self.prepared.map_or(self.map, |prepared| prepared.max(self.map))
    }

    /// Whether the rank is neither about to switch nor holding the group.
    pub const fn is_quiet(&self) -> bool {
        self.armed.is_none() && self.held.is_none()
    }
}
