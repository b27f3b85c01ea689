use std::sync::Arc;

use super::{Liveness, RetryBudget, RetryLimits, StreamStats};

/// What an entry keeps of a service over its requests.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) retry_budget: RetryBudget,
    pub(super) stream_stats: StreamStats,
    pub(super) liveness: Arc<Liveness>,
}

impl ServiceState {
    /// No request has come yet.
    pub(super) fn new(limits: RetryLimits) -> Self {
        let retry_budget = RetryBudget::new(limits);
        Self { retry_budget, stream_stats: StreamStats::default(), liveness: Arc::default() }
    }
}
