use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::entry::MemberStatus;

/// State of an entry and of its upstreams, as the entry sees them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Revision of the settings in force at this entry.
    pub revision: u64,
    /// Version of each team's subtree in force at this entry.
    pub teams: BTreeMap<String, u64>,
    /// Whether callers should be sent to this entry.
    pub ready: bool,
    /// Upstreams by instance name.
    pub upstreams: BTreeMap<String, MemberStatus>,
    /// Number of requests quarantined because they crashed upstreams.
    pub held: usize,
}
