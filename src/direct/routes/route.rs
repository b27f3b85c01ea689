use std::time::Duration;

use smallvec::SmallVec;

use crate::direct::{Delivery, LatencyTargets};

/// One of the services among which a route splits its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other services.
    pub weight: u32,
}

/// Maps the requests for a host and the paths under a prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for the log.
    pub name: String,
    /// Prefix of the path, which begins and ends with `/`.
    pub prefix: String,
    /// The services.
    pub splits: SmallVec<[Split; 2]>,
    /// How often requests may run, and whether responses are streams.
    pub delivery: Delivery,
    /// Maximum time that a caller waits for its response.
    pub timeout: Duration,
    /// Target time to the first byte of a response.
    pub first_byte_target: Duration,
    /// Target for the maximum gap between events of a stream.
    pub gap_target: Option<Duration>,
    /// Time without an event, also before the first one, after which callers of a stream disconnect.
    pub patience: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that one request may reach.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the latency targets of the requests.
    pub const fn latency_targets(&self) -> LatencyTargets {
        LatencyTargets { first_byte: self.first_byte_target, gap: self.gap_target }
    }

    /// Chooses a service by weight. `draw` is a random number from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.splits.iter().map(|split| f64::from(split.weight)).sum();
        let mut left = draw * total;
        for split in &self.splits {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.iter().rev().find(|split| split.weight > 0).map(|split| split.service.as_str())
    }
}
