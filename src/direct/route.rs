use std::time::Duration;

use smallvec::SmallVec;

use super::Delivery;

/// One of the services that a route divides its requests among.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Name of the service.
    pub service: String,
    /// Its share, against the weights of the others.
    pub weight: u32,
}

/// Sends the requests for a host and the paths under a prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for the log.
    pub name: String,
    /// Prefix of the path, which begins and ends with `/`.
    pub prefix: String,
    /// The services.
    pub splits: SmallVec<[Split; 2]>,
    /// How often requests may run.
    pub delivery: Delivery,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the first byte within which an answer is on time.
    pub first_byte_target: Duration,
    /// Longest pause between events of a stream that is on time.
    pub gap_target: Option<Duration>,
    /// Rank among the routes, 0 is the most urgent.
    pub priority: u8,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number from 0 to 1.
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
