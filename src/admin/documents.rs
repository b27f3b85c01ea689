use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::settings::Team;

/// Body of a request that replaces a team's settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// Version that the operator read, 0 if the team has none.
    pub version: u64,
    /// The complete new settings.
    pub settings: Team,
}

/// Body of a request that changes a team's settings by a merge patch (RFC 7396).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Version that the operator read.
    pub version: u64,
    /// The merge patch.
    pub patch: Value,
}

/// Response to an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// New revision of the whole tree.
    pub revision: u64,
    /// New version of the team's settings.
    pub version: u64,
}

/// Response to a check that found the settings valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CheckReport {
    /// Always true; invalid settings are reported as an error.
    pub ok: bool,
}
