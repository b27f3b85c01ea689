use serde::{Deserialize, Serialize};

/// A map that a rank will switch to by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// The first pass under it.
    pub pass: u64,
}

/// What a rank says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RankState {
    /// Position in the group.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// Greater each time the group forms anew.
    pub epoch: u64,
    /// Whether the group is whole and runs.
    pub open: bool,
    /// The last pass that has begun.
    pub pass: u64,
    /// Version of the map in force.
    pub map: u64,
    /// Version whose experts the rank holds besides.
    pub prepared: Option<u64>,
    /// The map that the rank will switch to.
    pub armed: Option<Armed>,
    /// The pass that this rank holds the group before.
    pub held: Option<u64>,
    /// Requests that run at the rank.
    pub running: u32,
    /// Age of all this in milliseconds: a rank's report is fresh on its own machine only.
    #[serde(default)]
    pub lag_ms: u64,
}

impl RankState {
    /// Whether the rank is neither about to switch nor holding the group.
    pub const fn is_quiet(&self) -> bool {
        self.armed.is_none() && self.held.is_none()
    }
}
