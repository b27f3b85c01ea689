use serde::{Deserialize, Serialize};

use crate::membership::GroupName;

/// Leader of a group, identified by the group and the term that it leads for. Every call between
/// sidecars carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaderTerm {
    /// Group that the leader leads.
    pub group: GroupName,
    /// Number of the term. Terms of different groups are unrelated.
    pub term: u64,
}
