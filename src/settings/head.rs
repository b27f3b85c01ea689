use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Key of the row that holds the head.
pub const HEAD_KEY: &str = "settings/head";

/// The current revision of the settings tree and the version of each team's subtree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Revision of the tree, increased by one with each accepted change of any team.
    pub revision: u64,
    /// Version of each team's subtree.
    pub teams: BTreeMap<String, u64>,
}
