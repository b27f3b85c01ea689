use serde::{Deserialize, Serialize};

use super::Team;

/// A team's subtree with its version.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TeamDoc {
    /// Version of the subtree, increased by one with each accepted change, 0 before the first.
    pub version: u64,
    /// The subtree.
    pub settings: Team,
}
