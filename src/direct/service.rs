use std::time::Duration;

/// What the settings say of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one upstream takes from all callers together.
    pub max_connections: u32,
    /// Sizes and speeds of its engines, if they are model engines.
    pub engine: Option<Engine>,
}

/// Sizes and speeds of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Time of one step of a batch without requests.
    pub step: Duration,
    /// Time that each request of the batch adds to a step.
    pub per_request: Duration,
    /// Steps in one pass.
    pub stride: u32,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Experts of the engine's group, if it is a rank of one.
    pub experts: Option<Experts>,
}

/// Sizes of an expert-parallel group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Experts {
    /// Sets of layers, each with experts of its own.
    pub sets: usize,
    /// Experts in a set.
    pub count: usize,
    /// Experts of a set that a rank holds at most.
    pub places: usize,
    /// Experts of a set that one map may add to a rank.
    pub spare: usize,
    /// Share of a pass that is work of experts.
    pub share: f64,
    /// Time in which a group forms after a loss.
    pub form_time: Duration,
}
