use std::time::Duration;

use crate::direct::Admission;

/// Decision whether to admit a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether the request is admitted.
    pub is_admitted: bool,
    /// Time after which the caller may retry; zero if the request is admitted.
    pub wait: Duration,
    /// Inputs of the decision, for the log.
    pub basis: Basis,
}

/// Inputs of a decision, in requests per engine unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// Requests that an engine serves on time.
    pub capacity: f64,
    /// Part of the capacity that is kept for more urgent requests.
    pub reserve: f64,
    /// Arrivals of more urgent requests per second.
    pub demand: f64,
    /// Requests that may wait beyond the capacity.
    pub queue: f64,
    /// Estimated requests, running and waiting.
    pub level: f64,
    /// What this request adds to the level: one at the least loaded engine, less to the mean of all.
    pub added: f64,
    /// Whether the account is above its fair level.
    pub is_over: bool,
    /// Whether all recent requests have one priority.
    pub is_single: bool,
    /// Whether the load is the cause of a refusal, rather than the account or a stalled group.
    pub is_overload: bool,
    /// Whether the engines are stalled.
    pub is_stalled: bool,
}

impl Basis {
    /// Returns how many requests, with this one, exceed what the priority may use without queueing.
    pub fn ahead(&self) -> f64 {
        self.level + self.added - (self.capacity - self.reserve)
    }
}

impl Decision {
    /// Combines an admission with the inputs that led to it.
    pub(super) fn new(admission: Admission, basis: Basis) -> Self {
        match admission {
            Admission::Admit => Self { is_admitted: true, wait: Duration::ZERO, basis },
            Admission::Refuse(wait) => Self { is_admitted: false, wait, basis },
        }
    }
}
