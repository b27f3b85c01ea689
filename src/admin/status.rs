use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::entry::MemberStatus;

/// What an entry knows of itself and its upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Revision of the settings in force here.
    pub revision: u64,
    /// Version of each team's subtree in force here.
    pub teams: BTreeMap<String, u64>,
    /// Whether callers should be sent here.
    pub ready: bool,
    /// Upstreams by name of the instance.
    pub upstreams: BTreeMap<String, MemberStatus>,
    /// Requests held back since they crash upstreams.
    pub held: usize,
}
