use std::sync::Arc;

use super::{GroupOutage, Liveness, RetryBudget, RetryLimits, ReturnQueue, StreamStats};
use crate::capacity::ServiceCapacity;

/// State that an entry keeps for a service across requests.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) retry_budget: RetryBudget,
    pub(super) stream_stats: StreamStats,
    pub(super) liveness: Arc<Liveness>,
    pub(super) return_queue: ReturnQueue,
    pub(super) outage: GroupOutage,
    pub(super) capacity: ServiceCapacity,
}

impl ServiceState {
    /// Creates the state of a service without any requests yet.
    pub(super) fn new(limits: RetryLimits) -> Self {
        let retry_budget = RetryBudget::new(limits);
        Self {
            retry_budget,
            stream_stats: StreamStats::default(),
            liveness: Arc::default(),
            return_queue: ReturnQueue::default(),
            outage: GroupOutage::default(),
            capacity: ServiceCapacity::default(),
        }
    }
}
