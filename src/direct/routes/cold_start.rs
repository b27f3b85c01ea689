use std::time::Duration;

/// How upstreams of a service are spared after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long an upstream is cold after it has started while the service had requests.
    pub duration: Duration,
    /// Requests per second that a cold upstream takes from all entries together.
    pub per_second: f64,
}
