use std::collections::BTreeMap;

use serde::Serialize;

/// Results of one policy on a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct PolicyReport {
    /// Mean over the steps of the ratio of step time to ideal step time.
    pub mean_skew: f64,
    /// The same over the last quarter of the steps.
    pub settled_skew: f64,
    /// 99th percentile of the skew, over steps and layers.
    pub p99_skew: f64,
    /// Bytes of expert weights that were fetched.
    pub moved_bytes: u64,
    /// Number of switches.
    pub switches: u64,
    /// 99th percentile of the planning time.
    pub plan_p99_us: u64,
    /// Weighted sum of the excess skew and the share of experts moved per step.
    pub objective: f64,
}

/// Results of all policies.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct ExpertReport {
    /// Reports by policy name.
    pub policies: BTreeMap<String, PolicyReport>,
}
