use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Machine;

/// Settings file of a sidecar beside a rank of an expert-parallel group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RankFile {
    /// Name of this instance.
    pub name: String,
    /// Listen address for other sidecars; the port is the same at all sidecars of the group.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Address of the rank beside this process.
    pub rank: SocketAddr,
    /// Service that the group belongs to.
    pub service: String,
    /// What the machine allows. Bounds what is held for callers, and their connections.
    #[serde(default = "default_machine")]
    pub machine: Machine,
    /// Thresholds for changes of the expert map.
    #[serde(default)]
    pub rebalance: RebalanceSettings,
}

/// Thresholds for changes of the expert map.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct RebalanceSettings {
    /// Minimum decrease of the skew of a set of layers, times the number of ranks, for each expert
    /// that has to be copied: a copy takes up the link of one rank, and a lower skew frees all.
    pub copy_cost: f64,
    /// Minimum decrease of the mean skew for a switch to a new map.
    #[serde(rename = "least-gain")]
    pub min_gain: f64,
    /// Minimum time between two switches, in milliseconds.
    pub interval_ms: u64,
}

impl Default for RebalanceSettings {
    fn default() -> Self {
        Self { copy_cost: 1.0, min_gain: 0.1, interval_ms: 500 }
    }
}

impl RebalanceSettings {
    /// Returns the minimum time between two switches.
    pub const fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms)
    }
}

const fn default_machine() -> Machine {
    Machine::NODE
}
