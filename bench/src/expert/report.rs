use std::collections::BTreeMap;

use serde::Serialize;

/// What one policy did on a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct PolicyReport {
    /// Mean of step time over ideal.
    pub mean_skew: f64,
    /// The same over the last quarter of the steps.
    pub settled_skew: f64,
    /// Skew that 99 in 100 steps have at most.
    pub p99_skew: f64,
    /// Weights that were fetched.
    pub moved_bytes: u64,
    /// Switches.
    pub switches: u64,
    /// Time that 99 in 100 plans take at most.
    pub plan_p99_us: u64,
    /// Weighted sum of skew and moves.
    pub objective: f64,
}

/// What all policies did.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct ExpertReport {
    /// Reports by policy.
    pub policies: BTreeMap<String, PolicyReport>,
}
