use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::time::Instant;

use super::groups::GroupState;
use super::{Membership, Memberships, RetryBudget, RetryLimits};
use crate::admission::PriorityAdmission;
use crate::membership::GroupName;

/// State that an entry keeps for a service across requests.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) retry_budget: RetryBudget,
    pub(super) admission: PriorityAdmission,
    /// State of the upstreams that no row of a group lists.
    unlisted: Arc<GroupState>,
    groups: Mutex<Groups>,
}

/// States of the groups that rows list.
#[derive(Debug, Default)]
struct Groups {
    by_name: HashMap<GroupName, Arc<GroupState>>,
    /// Memberships by which the states of former groups were dropped.
    checked: Option<Arc<Memberships>>,
}

impl ServiceState {
    /// Creates the state of a service without any requests yet.
    pub(super) fn new(limits: RetryLimits) -> Self {
        let retry_budget = RetryBudget::new(limits);
        Self {
            retry_budget,
            admission: PriorityAdmission::default(),
            unlisted: Arc::default(),
            groups: Mutex::default(),
        }
    }

    /// Returns the state of the group of an upstream, which is created on first use.
    pub(super) fn group(&self, membership: Option<&Membership>) -> Arc<GroupState> {
        let Some(Membership { group, .. }) = membership else {
            return Arc::clone(&self.unlisted);
        };
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = groups.by_name.get(group) {
            return Arc::clone(state);
        }
        let state = Arc::new(GroupState::new(group.clone()));
        groups.by_name.insert(group.clone(), Arc::clone(&state));
        state
    }

    /// Returns the least learned capacity of an engine in any group, `None` without recent samples.
    pub(super) fn least_capacity(&self, now: Instant) -> Option<f64> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let states = groups.by_name.values().chain([&self.unlisted]);
        states.filter_map(|state| state.capacity.capacity(now)).min_by(f64::total_cmp)
    }

    /// Drops the states of groups that have no members any more.
    pub(super) fn drop_gone(&self, service: &str, memberships: &Arc<Memberships>) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        if groups.checked.as_ref().is_some_and(|checked| Arc::ptr_eq(checked, memberships)) {
            return;
        }
        groups.by_name.retain(|name, _| memberships.has_group(service, name));
        groups.checked = Some(Arc::clone(memberships));
    }
}
