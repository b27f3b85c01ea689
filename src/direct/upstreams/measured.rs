use crate::capacity::{SlowStart, SpeedEstimator};

/// What an entry has measured of an upstream.
#[derive(Clone, Copy, Debug)]
pub(in crate::direct) struct Measured {
    /// Work in flight and of requests that failed lately, in usual requests.
    pub(in crate::direct) work: f64,
    pub(in crate::direct) is_busy: bool,
    pub(in crate::direct) speed: SpeedEstimator,
    pub(in crate::direct) slow_start: SlowStart,
    /// Number of requests that can run at a time, if the upstream has reported it.
    pub(in crate::direct) slots: Option<u32>,
}
