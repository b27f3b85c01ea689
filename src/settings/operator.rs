use serde::{Deserialize, Serialize};

use super::KeyDigest;

/// A person or script that may change one team's subtree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Operator {
    /// Name, as shown in the list of revisions.
    pub name: String,
    /// Team whose subtree the operator may change.
    pub team: String,
    /// Digest of the operator's key.
    pub key: KeyDigest,
}
