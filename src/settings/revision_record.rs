use serde::{Deserialize, Serialize};

/// Record of one accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Revision that the change made.
    pub revision: u64,
    /// Team whose subtree changed.
    pub team: String,
    /// Version of the subtree that the change made.
    pub version: u64,
    /// Operator who made it.
    pub operator: String,
    /// Id of the change, to tell one's own after a lost answer.
    pub change: String,
}
