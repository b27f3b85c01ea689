use std::sync::Arc;

use super::{Pace, Pulse, RetryBudget, RetryLimits};

/// What an entry keeps of a service over its requests.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) budget: RetryBudget,
    pub(super) pace: Pace,
    pub(super) pulse: Arc<Pulse>,
}

impl ServiceState {
    /// No request has come yet.
    pub(super) fn new(limits: RetryLimits) -> Self {
        let budget = RetryBudget::new(limits);
        Self { budget, pace: Pace::default(), pulse: Arc::default() }
    }
}
