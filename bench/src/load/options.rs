use std::str::FromStr;

use super::FaultAt;

/// A routing policy by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    /// The product's own.
    PowerOfTwoChoices,
    /// At random.
    Random,
    /// In turn.
    RoundRobin,
    /// Fewest own requests in flight.
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

/// What a run of load consists of.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Entries.
    pub entries: usize,
    /// Model engines; a quarter as many plain services, at least two.
    pub upstreams: usize,
    /// Client accounts.
    pub accounts: usize,
    /// Factor of the first account's rate.
    pub hot_factor: f64,
    /// Requests a second over all accounts, the first one's factor left out.
    pub rate: f64,
    /// Length of the run.
    pub seconds: f64,
    /// Share of requests that are chats; look-ups and orders share the rest two to one.
    pub chat_share: f64,
    /// Faults.
    pub faults: Vec<FaultAt>,
    /// Routing policy.
    pub policy: PolicyName,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Whether to measure the baselines first.
    pub baselines: bool,
}
