use std::sync::Arc;

use super::{GroupCondition, GroupRecovery};
use crate::capacity::GroupCapacity;
use crate::direct::{GroupOutage, Liveness, ReturnQueue, StreamStats};
use crate::membership::GroupName;

/// State that an entry keeps for a group of upstreams across requests.
#[derive(Debug, Default)]
pub(in crate::direct) struct GroupState {
    pub(in crate::direct) name: GroupName,
    pub(in crate::direct) stream_stats: StreamStats,
    pub(in crate::direct) liveness: Arc<Liveness>,
    pub(in crate::direct) return_queue: ReturnQueue,
    pub(in crate::direct) outage: GroupOutage,
    pub(in crate::direct) recovery: GroupRecovery,
    pub(in crate::direct) capacity: GroupCapacity,
}

impl GroupState {
    /// Creates the state of a group without any requests yet.
    pub(in crate::direct) fn new(name: GroupName) -> Self {
        Self { name, ..Self::default() }
    }

    /// Returns whether the group is known to be stalled, or its ranks to refuse requests.
    pub(in crate::direct) fn is_down(&self) -> bool {
        self.recovery.condition() == GroupCondition::Down
    }
}
