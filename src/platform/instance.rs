use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether the platform is about to take an instance away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The instance may get work.
    Live,
    /// The instance is being taken away.
    Leaving,
}

/// One line of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Instance {
    /// The platform's name for it.
    pub name: String,
    /// Service that it belongs to, as `team/service`; `entry` for an entry.
    pub service: String,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Where it takes requests.
    pub data: SocketAddr,
    /// Where it takes calls of the system's own processes.
    pub peer: SocketAddr,
    /// Live or leaving.
    pub phase: Phase,
}
