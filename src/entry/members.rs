use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, PoisonError, RwLock};

use super::{Member, MemberStatus};

/// The upstreams that this entry may send to, by service.
#[derive(Debug, Default)]
pub struct Members {
    by_service: RwLock<HashMap<String, Arc<[Arc<Member>]>>>,
}

impl Members {
    /// Returns the members of a service (`team/service`), `None` if there are none.
    pub fn of(&self, service: &str) -> Option<Arc<[Arc<Member>]>> {
        let services = self.by_service.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service).cloned()
    }

    /// Returns all members.
    pub fn all(&self) -> Vec<Arc<Member>> {
        let services = self.by_service.read().unwrap_or_else(PoisonError::into_inner);
        services.values().flat_map(|members| members.iter().cloned()).collect()
    }

    /// Replaces all members.
    pub fn replace(&self, members: Vec<Arc<Member>>) {
        let mut by_service: HashMap<String, Vec<Arc<Member>>> = HashMap::new();
        for member in members {
            by_service.entry(member.instance.service.clone()).or_default().push(member);
        }
        let by_service = by_service.into_iter().map(|(name, list)| (name, list.into())).collect();
        *self.by_service.write().unwrap_or_else(PoisonError::into_inner) = by_service;
    }

    /// Returns the status of all members by instance name.
    pub fn status(&self) -> BTreeMap<String, MemberStatus> {
        let members = self.all();
        members.iter().map(|member| (member.instance.name.clone(), member.status())).collect()
    }
}
