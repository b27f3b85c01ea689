use std::collections::HashMap;

use tokio::time::Instant;

use crate::membership::GroupName;

/// Group of an upstream, by the row that lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Service that the group belongs to.
    pub service: String,
    /// Name of the group.
    pub group: GroupName,
    /// When this entry first read the row with its present contents.
    pub read_at: Instant,
}

/// Groups of the upstreams that rows list, by upstream id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Memberships(pub(super) HashMap<String, Membership>);

impl Memberships {
    /// Returns the group of an upstream of a service, or `None` if no row lists it.
    pub fn get(&self, service: &str, upstream: &str) -> Option<&Membership> {
        self.0.get(upstream).filter(|membership| membership.service == service)
    }

    /// Returns whether a group of a service has members.
    pub fn has_group(&self, service: &str, group: &GroupName) -> bool {
        self.0.values().any(|other| other.service == service && other.group == *group)
    }
}
