use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{GroupCondition, GroupRecovery};
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
}

impl GroupState {
    /// Creates the state of a group without any requests yet.
    pub(in crate::direct) fn new(name: GroupName) -> Self {
        Self { name, ..Self::default() }
    }

    /// Records that a rank on which nothing runs or waits has refused a request. Returns after which
    /// time the caller is to return, if this shows that the group does not run.
    pub(in crate::direct) fn record_refusal(&self, upstream: &str) -> Option<Duration> {
        let now = Instant::now();
        let retry_after = self.outage.record_refusal(upstream, now);
        if retry_after.is_some() {
            self.recovery.record_failure(now);
        }
        retry_after
    }

    /// Returns whether the group stalls or its ranks refuse requests, as far as is known.
    pub(in crate::direct) fn is_down(&self) -> bool {
        self.recovery.condition() == GroupCondition::Down
    }

    /// Records that the group runs a request.
    pub(in crate::direct) fn record_response(&self) {
        self.outage.record_response();
        self.recovery.record_response(Instant::now());
    }
}
