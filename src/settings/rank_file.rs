use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a sidecar beside a rank of an expert-parallel group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RankFile {
    /// Name of this instance.
    pub name: String,
    /// Where other sidecars call; the port is the same at all of them.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// The rank beside this process.
    pub rank: SocketAddr,
    /// Service that the group belongs to.
    pub service: String,
    /// How readily maps are changed.
    #[serde(default)]
    pub rebalance: RebalanceSettings,
}

/// How readily maps are changed.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct RebalanceSettings {
    /// Fall of a set's skew that one copied expert must bring.
    pub copy_cost: f64,
    /// Fall of the mean skew that a switch must bring.
    pub least_gain: f64,
    /// Least time between two switches, in milliseconds.
    pub interval_ms: u64,
}

impl Default for RebalanceSettings {
    fn default() -> Self {
        Self { copy_cost: 0.08, least_gain: 0.1, interval_ms: 500 }
    }
}

impl RebalanceSettings {
    /// Least time between two switches.
    pub const fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms)
    }
}
