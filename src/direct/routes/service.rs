use std::time::Duration;

use crate::direct::ColdStart;

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one upstream accepts in total. Not applied by the entry.
    pub max_connections: u32,
    /// Sizes and speeds of its engines, if they are model engines.
    pub engine: Option<Engine>,
    /// How upstreams are spared after a start, if they are.
    pub cold: Option<ColdStart>,
}

/// Sizes and speeds of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Base time of a step, without the requests of the batch.
    pub step: Duration,
    /// Time that each request of the batch adds to a step.
    pub per_request: Duration,
    /// Number of steps in a pass.
    pub stride: u32,
    /// Prompt tokens processed per second.
    pub read_per_s: f64,
    /// Experts of the engine's group, if it is a rank of one.
    pub experts: Option<Experts>,
}

/// Sizes of an expert-parallel group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Experts {
    /// Number of sets of layers, each with its own experts.
    pub sets: usize,
    /// Number of experts in a set.
    pub count: usize,
    /// Maximum number of experts of a set that a rank holds.
    pub places: usize,
    /// Maximum number of experts of a set that one map may add to a rank.
    pub spare: usize,
    /// Share of the time of a pass that is spent in experts.
    pub share: f64,
    /// Time that a group takes to form again after the loss of a rank.
    pub form_time: Duration,
}
