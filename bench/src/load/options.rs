use std::str::FromStr;

use super::FaultAt;

/// Routing policy, as named on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    /// Power of two choices, the policy of the product, named `weighed`.
    PowerOfTwoChoices,
    /// Random choice.
    Random,
    /// Round-robin.
    RoundRobin,
    /// Fewest requests in flight from this entry.
    LeastInFlight,
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "weighed" => Ok(Self::PowerOfTwoChoices),
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-in-flight" => Ok(Self::LeastInFlight),
            _ => Err(format!(
                "expected weighed, random, round-robin or least-in-flight, got {text:?}"
            )),
        }
    }
}

/// Options of a load run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines; a quarter as many plain services are started, at least two.
    pub upstreams: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// Factor on the request rate of the first account.
    pub hot_factor: f64,
    /// Requests per second over all accounts, before the factor of the first account.
    pub rate: f64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Share of requests that are chats. Of the rest, two thirds are look-ups and one third orders.
    pub chat_share: f64,
    /// Faults to inject.
    pub faults: Vec<FaultAt>,
    /// Routing policy.
    pub policy: PolicyName,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Whether to measure the overhead over direct requests first.
    pub baselines: bool,
}
