use serde::{Deserialize, Serialize};

use super::GroupName;

/// Start of the keys of all rows that list the members of groups.
const KEY_PREFIX: &str = "group/";

/// Row in which the leader of a group lists the group's members, for a service with several groups.
/// It is written once for each epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupRow {
    /// Service that the group belongs to.
    pub service: String,
    /// Name of the group.
    pub group: GroupName,
    /// Epoch of the group in which these are its members.
    pub epoch: u64,
    /// Term of the leader that wrote the row.
    pub term: u64,
    /// Ids of the upstreams, in the order of their ranks.
    pub members: Vec<String>,
}

impl GroupRow {
    /// Returns the key of the row of a group.
    ///
    /// ```
    /// # use ebonyusher::membership::{GroupName, GroupRow};
    /// let key = GroupRow::key("chat", &GroupName::from("g-1"));
    /// assert_eq!(key, "group/chat/g-1");
    /// assert!(GroupRow::is_key(&key));
    /// ```
    pub fn key(service: &str, group: &GroupName) -> String {
        format!("{KEY_PREFIX}{service}/{group}")
    }

    /// Returns whether a key is that of the row of a group.
    pub fn is_key(key: &str) -> bool {
        key.starts_with(KEY_PREFIX)
    }
}
