use serde::{Deserialize, Serialize};

/// Record of one accepted change of a team's subtree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Revision of the tree that the change created.
    pub revision: u64,
    /// Team whose subtree changed.
    pub team: String,
    /// Version of the subtree that the change created.
    pub version: u64,
    /// Operator who made the change.
    pub operator: String,
    /// Id of the change, by which a writer recognizes its own change after a lost response.
    pub change: String,
}
