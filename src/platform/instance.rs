use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether the platform is about to remove an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The instance may receive work.
    Live,
    /// The instance is about to be removed.
    Leaving,
}

/// One item of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Instance {
    /// The platform's name of the instance.
    pub name: String,
    /// Service that the instance belongs to, as `team/service`; `entry` for an entry.
    pub service: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address that accepts requests.
    pub data: SocketAddr,
    /// Address that accepts calls from other entries and sidecars.
    pub peer: SocketAddr,
    /// Live or leaving.
    pub phase: Phase,
}
